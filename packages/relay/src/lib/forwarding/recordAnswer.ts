import type { CrashTracker } from '@endiveferry/routing';

import type { SuspectIds } from './createSuspectIds.js';

/**
 * Records that a backend server answered a request without a crash.
 *
 * @param suspectIds - the ids of the request and of its parts
 * @param crashes - what is known of crashes
 * @internal
 */
export function recordAnswer(
  suspectIds: SuspectIds,
  crashes: Pick<CrashTracker, 'recordAnswer' | 'hasSuspects'>,
): void {
  // Without suspects there is nothing that the answer of a request refutes, and no need to hash it.
  crashes.recordAnswer(crashes.hasSuspects() ? suspectIds.listAll() : suspectIds.listParts());
}
