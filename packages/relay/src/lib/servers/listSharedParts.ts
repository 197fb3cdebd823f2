import type { PromptPart } from '../ports.js';

/**
 * Returns the parts of a prompt that other requests may share. The last part is specific to the
 * request.
 *
 * @param promptParts - the parts of a prompt, in order
 * @returns all but the last
 * @internal
 */
export function listSharedParts(promptParts: readonly PromptPart[]): readonly PromptPart[] {
  return promptParts.slice(0, -1);
}

/**
 * Returns the ids of {@link listSharedParts}.
 *
 * @param promptParts - the parts of a prompt, in order
 * @returns the ids of all but the last
 * @internal
 */
export function listSharedPartIds(promptParts: readonly PromptPart[]): readonly string[] {
  return listSharedParts(promptParts).map(({ partId }) => partId);
}
