import { createNotRunFailure, type Failure } from '@endiveferry/base';
import type { CrashTracker } from '@endiveferry/routing';

import type { SuspectIds } from './createSuspectIds.js';

/**
 * Rejects a request that crashes backend servers, or one with a prompt part that does.
 *
 * @param suspectIds - the ids of the request and of its parts
 * @param crashes - what is known of crashes
 * @returns the rejection, without a retry delay; undefined when the request may be sent
 * @internal
 */
export function checkSuspects(
  suspectIds: SuspectIds,
  crashes: Pick<CrashTracker, 'findBlockedPart' | 'hasSuspects'>,
): Failure | undefined {
  if (!crashes.hasSuspects()) return undefined;
  const blocked = crashes.findBlockedPart(suspectIds.listAll());
  if (blocked === undefined) return undefined;
  const known = `crashes backend servers (${blocked.crashes} known crashes)`;
  return suspectIds.isRequest(blocked.partId)
    ? createNotRunFailure('request-blocked', `the same request ${known}`)
    : createNotRunFailure('part-blocked', `prompt part ${blocked.partId} ${known}`);
}
