/** Parts of one request that are tracked. */
const MAX_PARTS = 64;
/** Length of the ids that are tracked; longer ones would make reports large. */
const MAX_ID_LENGTH = 64;

/**
 * Returns the parts of a request for which crashes and answers are recorded. Callers choose ids and
 * numbers of parts, so both are bounded.
 *
 * @param partIds - all parts of the request
 * @returns the tracked parts, each once
 * @internal
 */
export function listTrackedParts(partIds: readonly string[]): ReadonlySet<string> {
  return new Set(partIds.slice(0, MAX_PARTS).filter(({ length }) => length <= MAX_ID_LENGTH));
}
