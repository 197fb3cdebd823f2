/** Longest event that is kept until it is whole, in bytes. */
const MAX_EVENT_BYTES = 1_000_000;

/** One whole event of a stream, unchanged. @public */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Its number; undefined when it has none. */
  readonly eventId: number | undefined;
}

/**
 * Cuts a stream into whole events, because a server may stop in the middle of one and only whole
 * events can be gone on from.
 *
 * @public
 */
export interface EventSplitter {
  /** Takes bytes as they come, and tells the events that they complete. */
  push(chunk: Buffer): readonly StreamEvent[];
  /** Bytes of an event that is not whole. */
  readonly rest: () => Buffer;
}

const EVENT_END = /\r?\n\r?\n/g;
const ID_LINE = /^id: ?(\d+)\r?$/m;

/**
 * Creates a splitter at the beginning of a stream.
 *
 * @returns the splitter
 * @throws Error from `push`, when an event is too long to keep
 * @public
 */
export function createEventSplitter(): EventSplitter {
  // One character for each byte, so that positions are the same and nothing is decoded twice.
  let pending = '';
  return {
    push(chunk) {
      pending += chunk.toString('latin1');
      const events: StreamEvent[] = [];
      let start = 0;
      for (const { index, 0: end } of pending.matchAll(EVENT_END)) {
        const text = pending.slice(start, index + end.length);
        start = index + end.length;
        const eventId = ID_LINE.exec(text)?.[1];
        events.push({
          bytes: Buffer.from(text, 'latin1'),
          eventId: eventId === undefined ? undefined : Number(eventId),
        });
      }
      pending = pending.slice(start);
      if (pending.length > MAX_EVENT_BYTES) {
        throw new Error(`an event of a stream is longer than ${MAX_EVENT_BYTES} bytes`);
      }
      return events;
    },
    rest: () => Buffer.from(pending, 'latin1'),
  };
}
