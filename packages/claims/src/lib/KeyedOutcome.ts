import { executionSchema, failureReasonSchema } from '@endiveferry/base';
import { z } from 'zod';

/** Schema of the outcome of a keyed request, as hosts send it to each other. @public */
export const keyedOutcomeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('answer'),
    output: z.unknown(),
    tokens: z.number(),
    /** Whether this is the stored answer of an earlier request with the same key. */
    isReplay: z.boolean(),
  }),
  z.object({
    kind: z.literal('failure'),
    reason: failureReasonSchema,
    detail: z.string(),
    execution: executionSchema,
    retryAfterMs: z.number().optional(),
  }),
]);

/** Outcome of a keyed request. @public */
export type KeyedOutcome = z.infer<typeof keyedOutcomeSchema>;

/**
 * Creates the outcome for a key that may have been used before.
 *
 * @param detail - why an earlier use of the key cannot be ruled out
 * @returns a failure with the verdict `may-have-run`
 * @internal
 */
export function createUnprovenOutcome(detail: string): KeyedOutcome {
  return { kind: 'failure', reason: 'key-unproven', detail, execution: 'may-have-run' };
}
