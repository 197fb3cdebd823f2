import { backendServerIdSchema } from '@endiveferry/base';
import { z } from 'zod';

/** Schema of {@link RampReport}. @internal */
export const rampReportSchema = z.object({
  serverId: backendServerIdSchema,
  address: z.string(),
  startedAt: z.int().optional(),
  /** Number of reductions of the level since the start of the server. */
  reductions: z.int().nonnegative(),
  /** Calls that all hosts together may run; absent after the end of the ramp. */
  level: z.number().positive().optional(),
  /** Time since the last reduction, in milliseconds. */
  ageMs: z.number().nonnegative(),
  /** Time for which the level does not grow yet, in milliseconds. */
  holdMs: z.number().nonnegative().default(0),
});

/** The ramp of a server, as hosts report it to each other. @public */
export type RampReport = z.infer<typeof rampReportSchema>;
