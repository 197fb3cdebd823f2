import type { Failure, Random, RequestId } from '@endiveferry/base';

import type { ForwardOutcome } from './ForwardRequest.js';
import type { WireProtocol } from './ports.js';
import type { Responder } from './Responder.js';
import { addRetryDelay } from './addRetryDelay.js';

/** Dependencies of {@link sendFailure}. @internal */
export interface FailurePorts {
  readonly protocol: Pick<WireProtocol, 'buildFailureResponse'>;
  readonly random: Random;
}

/**
 * Sends a failure to a caller, with a randomized retry delay if the request did not run.
 *
 * @param failure - the failure
 * @param requestId - the id of the request; undefined when it has no valid id
 * @param responder - writes the response to the caller
 * @param ports - see {@link FailurePorts}
 * @returns the failure and status that were sent
 * @internal
 */
export function sendFailure(
  failure: Failure,
  requestId: RequestId | undefined,
  responder: Responder,
  { protocol, random }: FailurePorts,
): Pick<ForwardOutcome, 'failure' | 'status'> {
  const delayed = addRetryDelay(failure, random);
  const response = protocol.buildFailureResponse(delayed, requestId);
  responder.send(response);
  return { failure: delayed, status: response.status };
}
