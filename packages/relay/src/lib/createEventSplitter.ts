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
/** Length of the longest beginning of an event end that more bytes may complete. */
const MAX_PARTIAL_END = 3;
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
  /** Position in `pending` before which no event can end. */
  let searchedTo = 0;
  return {
    push(chunk) {
      pending += chunk.toString('latin1');
      const events: StreamEvent[] = [];
      let start = 0;
      EVENT_END.lastIndex = searchedTo;
      for (let end = EVENT_END.exec(pending); end !== null; end = EVENT_END.exec(pending)) {
        const text = pending.slice(start, EVENT_END.lastIndex);
        start = EVENT_END.lastIndex;
        const eventId = ID_LINE.exec(text)?.[1];
        events.push({
          bytes: Buffer.from(text, 'latin1'),
          eventId: eventId === undefined ? undefined : Number(eventId),
        });
      }
      pending = pending.slice(start);
      searchedTo = Math.max(0, pending.length - MAX_PARTIAL_END);
      if (pending.length > MAX_EVENT_BYTES) {
        throw new Error(`an incomplete stream event exceeds ${MAX_EVENT_BYTES} bytes`);
      }
      return events;
    },
    rest: () => Buffer.from(pending, 'latin1'),
  };
}
