import { executionSchema, failureReasonSchema } from '@endiveferry/base';
import { z } from 'zod';

/** Validator of how a keyed request ended, as hosts tell each other. @public */
export const keyedOutcomeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('answer'),
    output: z.unknown(),
    tokens: z.number(),
    /** Whether this answer was given before. */
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

/** How a keyed request ended. @public */
export type KeyedOutcome = z.infer<typeof keyedOutcomeSchema>;

/**
 * Creates the outcome of a key whose use this system cannot rule out.
 *
 * @param detail - why
 * @returns a failure with the verdict `may-have-run`
 * @internal
 */
export function createUnprovenOutcome(detail: string): KeyedOutcome {
  return { kind: 'failure', reason: 'key-unproven', detail, execution: 'may-have-run' };
}
