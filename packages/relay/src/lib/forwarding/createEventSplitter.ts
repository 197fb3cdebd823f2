/** Largest incomplete event that is buffered, in bytes. */
const MAX_EVENT_BYTES = 1_000_000;

/** One complete event of a stream, unchanged, with the comments before it. @public */
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
  /** Returns the buffered bytes: comments, and an incomplete event. */
  readonly rest: () => Buffer;
  /** Returns the number of buffered bytes. */
  readonly countKept: () => number;
  /** Whether the stream stopped in the middle of an event. */
  readonly isInEvent: () => boolean;
}

const EVENT_END = /\r?\n\r?\n/g;
/** Length of the longest beginning of an event end that more bytes may complete. */
const MAX_PARTIAL_END = 3;
/** A block of the stream that only keeps the connection alive. */
const COMMENT_BLOCK = /^(?::[^\n]*\n|\r?\n)*$/;
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
  /** Position in `pending` after its complete blocks, which are comments. */
  let blockStart = 0;
  return {
    push(chunk) {
      pending += chunk.toString('latin1');
      const events: StreamEvent[] = [];
      let start = 0;
      EVENT_END.lastIndex = searchedTo;
      for (let end = EVENT_END.exec(pending); end !== null; end = EVENT_END.exec(pending)) {
        const block = pending.slice(blockStart, EVENT_END.lastIndex);
        blockStart = EVENT_END.lastIndex;
        if (COMMENT_BLOCK.test(block)) continue;
        const text = pending.slice(start, blockStart);
        start = blockStart;
        const eventId = ID_LINE.exec(text)?.[1];
        events.push({
          bytes: Buffer.from(text, 'latin1'),
          eventId: eventId === undefined ? undefined : Number(eventId),
        });
      }
      pending = pending.slice(start);
      blockStart -= start;
      searchedTo = Math.max(0, pending.length - MAX_PARTIAL_END);
      if (pending.length > MAX_EVENT_BYTES) {
        throw new Error(
          `an incomplete stream event with its comments exceeds ${MAX_EVENT_BYTES} bytes`,
        );
      }
      return events;
    },
    rest: () => Buffer.from(pending, 'latin1'),
    countKept: () => pending.length,
    isInEvent: () => blockStart < pending.length,
  };
}
