import type { BatchOutcome, PieceFailure } from '../ports.js';

/**
 * Lists the failure reasons that an answered call reports for its pieces.
 *
 * @param callOutcome - the outcome of the call
 * @returns one reason per failed piece; none for a call without an answer
 * @internal
 */
export function listFailures(callOutcome: BatchOutcome): readonly PieceFailure[] {
  if (callOutcome.kind !== 'answered') return [];
  return callOutcome.outcomes.flatMap((outcome) =>
    outcome.kind === 'failed' ? [outcome.reason] : [],
  );
}
