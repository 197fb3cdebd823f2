import type { Failure, Random, RequestId } from '@endiveferry/base';

import type { ForwardOutcome } from './ForwardRequest.js';
import type { WireProtocol } from './ports.js';
import type { Responder } from './Responder.js';
import { spreadRetry } from './spreadRetry.js';

/** What answering with a failure needs of the rest. @internal */
export interface FailurePorts {
  readonly protocol: Pick<WireProtocol, 'buildFailureResponse'>;
  readonly random: Random;
}

/**
 * Answers a caller with a failure, and tells one whose request did not run when to come back.
 *
 * @param failure - the failure
 * @param requestId - the request; undefined when it has no id that can be read
 * @param responder - the way back to the caller
 * @param ports - see {@link FailurePorts}
 * @returns the failure and the status that the caller got
 * @internal
 */
export function sendFailure(
  failure: Failure,
  requestId: RequestId | undefined,
  responder: Responder,
  { protocol, random }: FailurePorts,
): Pick<ForwardOutcome, 'failure' | 'status'> {
  const spread = spreadRetry(failure, random);
  const answer = protocol.buildFailureResponse(spread, requestId);
  responder.send(answer);
  return { failure: spread, status: answer.status };
}
