import type { ResponseStart } from '@endiveferry/routing';

import {
  createEventSplitter,
  type EventSplitter,
  type StreamEvent,
} from './createEventSplitter.js';
import type { WireProtocol } from './ports.js';
import type { Responder } from './Responder.js';

/**
 * Passes the events of one request's stream on as they come, over all backend servers that it
 * goes on at.
 *
 * @public
 */
export interface StreamRelay {
  /** Takes over a server's stream from its beginning, or from behind the last event passed on. */
  begin(start: ResponseStart): void;
  push(chunk: Buffer): void;
  /**
   * Ends the answer, if what the server sent is whole.
   *
   * @returns whether it was
   */
  finish(): boolean;
  /** The last event passed on; undefined when none was. */
  readonly lastEventId: () => number | undefined;
  readonly countEvents: () => number;
}

/** Options of a stream relay. @public */
export interface StreamRelayOptions {
  readonly responder: Responder;
  readonly protocol: Pick<WireProtocol, 'buildResponseHeaders'>;
  /** The last event that the caller had before. */
  readonly resumeAfter: number | undefined;
  readonly onEvent: () => void;
}

/**
 * Creates the relay of one request's stream. The answer begins with the first event, so that until
 * then another server, or a refusal, can take its place.
 *
 * @param options - see {@link StreamRelayOptions}
 * @returns the relay
 * @public
 */
export function createStreamRelay(options: StreamRelayOptions): StreamRelay {
  const { responder, protocol } = options;
  let splitter: EventSplitter = createEventSplitter();
  let current: ResponseStart | undefined;
  let lastEventId = options.resumeAfter;
  let count = 0;

  function startAnswer(): void {
    if (current === undefined || responder.hasStarted()) return;
    responder.start(current.status, protocol.buildResponseHeaders(current.headers));
  }

  function passOn({ bytes, eventId }: StreamEvent): void {
    const isKnown = eventId !== undefined && lastEventId !== undefined && eventId <= lastEventId;
    if (isKnown) return;
    lastEventId = eventId ?? lastEventId;
    count += 1;
    startAnswer();
    const source = current;
    if (!responder.write(bytes) && source !== undefined) {
      source.pause();
      responder.onDrain(() => source.resume());
    }
    options.onEvent();
  }

  return {
    begin(start) {
      splitter = createEventSplitter();
      current = start;
    },
    push(chunk) {
      for (const event of splitter.push(chunk)) passOn(event);
    },
    finish() {
      if (splitter.rest().length > 0) return false;
      startAnswer();
      responder.end();
      return true;
    },
    lastEventId: () => lastEventId,
    countEvents: () => count,
  };
}
