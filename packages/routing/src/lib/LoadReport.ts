import { modelIdSchema } from '@endiveferry/base';
import { z } from 'zod';

/** Validator of a backend server's response to `GET /v1/load`. @public */
export const loadReportSchema = z.object({
  running: z.number().min(0),
  queued: z.number().min(0),
  isLeaving: z.boolean().default(false),
  models: z.array(modelIdSchema).optional().describe('models that a model engine has loaded'),
  cache: z
    .object({
      /** Sequence number of the first event in `events`; a gap means that events were lost. */
      firstSequence: z.int().min(0),
      events: z.array(z.object({ prefix: z.string(), isCached: z.boolean() })),
    })
    .optional(),
});

/** Load report of a backend server. @public */
export type LoadReport = z.infer<typeof loadReportSchema>;
