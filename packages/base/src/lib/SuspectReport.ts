import { z } from 'zod';

import { backendServerIdSchema } from './ids.js';

/** Schema of {@link SuspectReport}. @public */
export const suspectReportSchema = z.object({
  partId: z.string(),
  /**
   * Backend servers that crashed under the part, the ages of the crashes, and for how long the
   * servers had run the request if that is known; in milliseconds.
   */
  crashes: z.array(z.tuple([backendServerIdSchema, z.number()], z.number())),
  /** Time since the last response to a request with the part began, in milliseconds. */
  answeredAgeMs: z.number().optional(),
  /** Time since the part was blocked, in milliseconds. */
  blockedAgeMs: z.number().optional(),
});

/**
 * What a host reports to others about a prompt part or a request that may crash backend servers.
 *
 * @public
 */
export type SuspectReport = z.infer<typeof suspectReportSchema>;
