import { createStateMachine, type StateMachine } from '@endiveferry/base';

/** State of a link to another host. @public */
export type LinkState = 'connecting' | 'up' | 'suspect' | 'down';

type LinkEvent = 'opened' | 'answered' | 'missed' | 'closed' | 'retried';

/** State machine of one link. @internal */
export type LinkStateMachine = StateMachine<LinkState, LinkEvent>;

/**
 * Creates the state machine of a link, in the state `connecting`.
 *
 * @param onChange - called after each transition with the new and the previous state
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
