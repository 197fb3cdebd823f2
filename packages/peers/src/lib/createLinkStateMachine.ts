import { createStateMachine, type StateMachine } from '@endiveferry/base';

/** State of the link to another host. @public */
export type LinkState = 'connecting' | 'up' | 'suspect' | 'down';

type LinkEvent = 'opened' | 'answered' | 'missed' | 'closed' | 'retried';

/** The state of one link. @internal */
export type LinkStateMachine = StateMachine<LinkState, LinkEvent>;

/**
 * Creates the state of a link that is being opened.
 *
 * @param onChange - called with each new state
 * @returns the state machine
 * @internal
 */
export function createLinkStateMachine(
  onChange: (state: LinkState, previous: LinkState) => void,
): LinkStateMachine {
  return createStateMachine<LinkState, LinkEvent>(
    'connecting',
    {
      connecting: { opened: 'up', closed: 'down' },
      up: { missed: 'suspect', closed: 'down' },
      suspect: { answered: 'up', closed: 'down' },
      down: { retried: 'connecting' },
    },
    onChange,
  );
}
