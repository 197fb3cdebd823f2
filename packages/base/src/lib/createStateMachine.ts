import {
  createMachine,
  interpret,
  state,
  transition,
  type Machine,
  type SendFunction,
} from 'robot3';

/**
 * Transitions of a state machine: for each state, the events it accepts and their target states.
 *
 * @public
 */
export type TransitionTable<State extends string, Event extends string> = Readonly<
  Record<State, Readonly<Partial<Record<Event, State>>>>
>;

/**
 * A running state machine.
 *
 * @public
 */
export interface StateMachine<State extends string, Event extends string> {
  /** The current state. */
  current(): State;
  /**
   * Applies an event; an event without a transition in the current state is ignored.
   *
   * @returns whether the current state has a transition for the event
   */
  send(event: Event): boolean;
}

/**
 * Creates a robot3 machine from a transition table, with typed state and event names.
 *
 * @param initial - initial state
 * @param table - transitions of every state
 * @param onChange - called after each transition with the new and the previous state
 * @returns the running machine
 * @public
 */
export function createStateMachine<State extends string, Event extends string>(
  initial: State,
  table: TransitionTable<State, Event>,
  onChange?: (current: State, previous: State) => void,
): StateMachine<State, Event> {
  const states = Object.fromEntries(
    Object.entries<Readonly<Partial<Record<Event, State>>>>(table).map(([name, targets]) => [
      name,
      state(
        ...Object.entries<State | undefined>(targets).flatMap(([event, target]) =>
          target === undefined ? [] : [transition(event, target)],
        ),
      ),
    ]),
  );
  let previous = initial;
  // robot3 cannot infer state names from a table; the type parameters of this function check them.
  const machine = createMachine(initial, states) as unknown as Machine;
  const service = interpret(machine, (changed) => {
    const next = changed.machine.current as State;
    const before = previous;
    previous = next;
    onChange?.(next, before);
  });
  const sendEvent = service.send as unknown as SendFunction<string>;
  const current = () => service.machine.current as State;
  return {
    current,
    send(event) {
      if (table[current()][event] === undefined) return false;
      sendEvent(event);
      return true;
    },
  };
}
