import { createNotRunFailure, type Failure } from '@endiveferry/base';
import type { CrashTracker } from '@endiveferry/routing';

import { listSharedPartIds } from './listSharedParts.js';
import type { PromptPart } from './ports.js';

/**
 * Rejects a request with a prompt part under which backend servers crash.
 *
 * @param promptParts - the parts of its prompt
 * @param crashes - what is known of crashes
 * @returns the rejection, without a retry delay; undefined when the request may be sent
 * @internal
 */
export function checkPromptParts(
  promptParts: readonly PromptPart[],
  crashes: Pick<CrashTracker, 'findBlockedPart'>,
): Failure | undefined {
  const blocked = crashes.findBlockedPart(listSharedPartIds(promptParts));
  if (blocked === undefined) return undefined;
  return createNotRunFailure(
    'part-blocked',
    `prompt part ${blocked.partId} crashes backend servers (${blocked.crashes} known crashes)`,
  );
}
