/** Largest incomplete event that is buffered, in bytes. */
const MAX_EVENT_BYTES = 1_000_000;

/** One complete event of a stream, unchanged. @public */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Numeric id; undefined when the event has none. */
  readonly eventId: number | undefined;
}

/**
 * Splits a stream into complete events, because a server may fail in the middle of one and a stream
 * can only be resumed after a complete event.
 *
 * @public
 */
export interface EventSplitter {
  /** Appends received bytes and returns the events that they complete. */
  push(chunk: Buffer): readonly StreamEvent[];
  /** Returns the buffered bytes of an incomplete event. */
  readonly rest: () => Buffer;
}

const EVENT_END = /\r?\n\r?\n/g;
const ID_LINE = /^id: ?(\d+)\r?$/m;

/**
 * Creates a splitter for a stream.
 *
 * @returns the splitter
 * @throws Error from `push`, when an incomplete event exceeds the buffer limit
 * @public
 */
export function createEventSplitter(): EventSplitter {
  // Latin-1 maps each byte to one character, so string positions are byte offsets.
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
        throw new Error(`an incomplete stream event exceeds ${MAX_EVENT_BYTES} bytes`);
      }
      return events;
    },
    rest: () => Buffer.from(pending, 'latin1'),
  };
}
