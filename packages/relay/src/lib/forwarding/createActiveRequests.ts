import type { Clock, RequestId } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';

import type { Responder } from '../Responder.js';

/** A request in progress. @internal */
export interface ActiveRequest {
  /** Undefined when the request has no valid id. */
  readonly requestId: RequestId | undefined;
  readonly responder: Responder;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAt: number;
  progress: 'preparing' | 'forwarding';
}

/** The requests that a host has in progress. @internal */
export interface ActiveRequests {
  /** Runs a request, which counts as in progress until `serve` ends; never rejects. */
  run(
    requestId: RequestId | undefined,
    responder: Responder,
    serve: (request: ActiveRequest) => Promise<void>,
  ): Promise<void>;
  readonly count: () => number;
  /** Logs each of them, because this host is about to cut them off. */
  readonly logCutOff: () => void;
}

/**
 * Creates the requests of a host that has none.
 *
 * @param clock - clock for the age of requests
 * @param logger - logs requests that fail unexpectedly or are cut off
 * @returns see {@link ActiveRequests}
 * @internal
 */
export function createActiveRequests(clock: Clock, logger: Logger): ActiveRequests {
  const active = new Set<ActiveRequest>();
  return {
    async run(requestId, responder, serve) {
      const arrivedAt = clock.now();
      const request: ActiveRequest = { requestId, responder, arrivedAt, progress: 'preparing' };
      active.add(request);
      try {
        await serve(request);
      } catch (error) {
        const stack = error instanceof Error ? error.stack : String(error);
        logger.error('a request failed unexpectedly', { requestId, error: stack });
        responder.abort();
      } finally {
        active.delete(request);
      }
    },
    count: () => active.size,
    logCutOff() {
      for (const { requestId, responder, arrivedAt, progress } of active) {
        logger.warn('a request is cut off at the end of the stop', {
          requestId,
          progress,
          hasStarted: responder.hasStarted(),
          ageMs: Math.round(clock.now() - arrivedAt),
        });
      }
    },
  };
}
