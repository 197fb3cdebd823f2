import { createNotRunFailure, type Failure } from '@endiveferry/base';
import { err, ok, type Result } from 'neverthrow';

import type { AdmittedRequest } from './admitRequest.js';
import { isRepeatable, type Route } from '../RelayConfiguration.js';

/** What decides whether a request ends in time. @internal */
export interface StoppableRequest extends Pick<AdmittedRequest, 'endAt' | 'streamEndAt'> {
  readonly route: Pick<Route, 'kind' | 'isResumable'>;
}

/**
 * Limits a request that arrives while this host stops to the time until the end of the stop. One
 * that may run only once is rejected unless it ends in that time even if it takes as long as it may:
 * cut off, its caller could neither know whether it ran nor send it again. Others get an answer
 * before the end, and their callers can repeat them elsewhere.
 *
 * @param request - the request
 * @param stopEndAt - monotonic time of the end of the stop, in milliseconds; undefined while this
 *   host does not stop
 * @returns the request with its deadlines, or its rejection
 * @internal
 */
export function limitToStop<Request extends StoppableRequest>(
  request: Request,
  stopEndAt: number | undefined,
): Result<Request, Failure> {
  if (stopEndAt === undefined) return ok(request);
  const { route, endAt, streamEndAt } = request;
  const latestEndAt = route.kind === 'streaming' ? streamEndAt : endAt;
  if (!isRepeatable(route) && latestEndAt > stopEndAt)
    return err(createNotRunFailure('draining', 'this host stops before the request may end'));
  return ok({
    ...request,
    endAt: Math.min(endAt, stopEndAt),
    streamEndAt: Math.min(streamEndAt, stopEndAt),
  });
}
