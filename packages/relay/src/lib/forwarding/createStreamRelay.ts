import type { ResponseStart } from '@endiveferry/routing';

import {
  createEventSplitter,
  type EventSplitter,
  type StreamEvent,
} from './createEventSplitter.js';
import type { WireProtocol } from '../ports.js';
import type { Responder } from '../Responder.js';

/**
 * Forwards the events of one request's stream to the caller as they arrive, across all backend
 * servers at which the stream starts or resumes.
 *
 * @public
 */
export interface StreamRelay {
  /** Switches to a server's stream that starts from the beginning or after `lastEventId`. */
  startSource(start: ResponseStart): void;
  push(chunk: Buffer): void;
  /**
   * Ends the response, unless the server's stream stopped in the middle of an event.
   *
   * @returns whether the response was ended
   */
  end(): boolean;
  /**
   * Returns the id of the last event that the caller has, initially `resumeAfter`; undefined when
   * it has none.
   */
  readonly lastEventId: () => number | undefined;
  /** Whether reading from the server is paused because the caller does not read. */
  readonly isPaused: () => boolean;
  /** Returns the number of events forwarded. */
  readonly countEvents: () => number;
  /** Returns the number of bytes that wait for the rest of their event. */
  readonly countKept: () => number;
}

/** Options of a stream relay. @public */
export interface StreamRelayOptions {
  readonly responder: Responder;
  readonly protocol: Pick<WireProtocol, 'buildResponseHeaders'>;
  /** Id of the last event that the caller received in an earlier request. */
  readonly resumeAfter: number | undefined;
  /** Called after each forwarded event. */
  readonly onEvent: () => void;
  /** Called when reading from the server goes on after a pause. */
  readonly onResume?: () => void;
}

/**
 * Creates the relay of one request's stream. The response starts with the first event, so that
 * until then a failed stream can be replaced by that of another server or by a failure response.
 *
 * @param options - see {@link StreamRelayOptions}
 * @returns the relay
 * @public
 */
export function createStreamRelay(options: StreamRelayOptions): StreamRelay {
  const { responder, protocol } = options;
  let splitter: EventSplitter = createEventSplitter();
  let source: ResponseStart | undefined;
  let lastEventId = options.resumeAfter;
  let count = 0;
  let isWaitingForDrain = false;

  function startResponse(): void {
    if (source === undefined || responder.hasStarted()) return;
    responder.start(source.status, protocol.buildResponseHeaders(source.headers));
  }

  /** One wait serves all events that the source had already sent. */
  function pauseUntilDrained(): void {
    source?.pause();
    if (isWaitingForDrain) return;
    isWaitingForDrain = true;
    responder.onDrain(() => {
      isWaitingForDrain = false;
      options.onResume?.();
      source?.resume();
    });
  }

  function forwardEvent({ bytes, eventId }: StreamEvent): void {
    const isDuplicate =
      eventId !== undefined && lastEventId !== undefined && eventId <= lastEventId;
    if (isDuplicate) return;
    lastEventId = eventId ?? lastEventId;
    count += 1;
    startResponse();
    if (!responder.write(bytes)) pauseUntilDrained();
    options.onEvent();
  }

  return {
    startSource(start) {
      splitter = createEventSplitter();
      source = start;
    },
    push(chunk) {
      for (const event of splitter.push(chunk)) forwardEvent(event);
    },
    end() {
      if (splitter.isInEvent()) return false;
      startResponse();
      if (splitter.countKept() > 0) responder.write(splitter.rest());
      responder.end();
      return true;
    },
    lastEventId: () => lastEventId,
    isPaused: () => isWaitingForDrain,
    countEvents: () => count,
    countKept: () => splitter.countKept(),
  };
}
