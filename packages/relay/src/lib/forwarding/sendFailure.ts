import type { Failure, Random, RequestId } from '@endiveferry/base';

import type { ForwardOutcome } from './ForwardRequest.js';
import type { WireProtocol } from '../ports.js';
import type { Responder } from '../Responder.js';
import { addRetryDelay } from './addRetryDelay.js';

/** Options of {@link sendFailure}. @internal */
export interface FailureOptions {
  readonly protocol: Pick<WireProtocol, 'buildFailureResponse'>;
  readonly random: Random;
}

/**
 * Sends a failure to a caller, with a randomized retry delay if the request did not run.
 *
 * @param failure - the failure
 * @param requestId - the id of the request; undefined when it has no valid id
 * @param responder - writes the response to the caller
 * @param options - see {@link FailureOptions}
 * @returns the failure and status that were sent
 * @internal
 */
export function sendFailure(
  failure: Failure,
  requestId: RequestId | undefined,
  responder: Responder,
  { protocol, random }: FailureOptions,
): Pick<ForwardOutcome, 'failure' | 'status'> {
  const delayed = addRetryDelay(failure, random);
  const response = protocol.buildFailureResponse(delayed, requestId);
  responder.send(response);
  return { failure: delayed, status: response.status };
}
