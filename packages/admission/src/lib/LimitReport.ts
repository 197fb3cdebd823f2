import { backendServerIdSchema } from '@endiveferry/base';
import { z } from 'zod';

/** Schema of {@link LimitReport}. @public */
export const limitReportSchema = z.object({
  serverId: backendServerIdSchema,
  /** Requests a second that the server takes from all hosts together; absent when it ended. */
  perSecond: z.number().min(0).optional(),
  /** Time since an answer of the server said so, in milliseconds. */
  ageMs: z.number(),
});

/** What a host reports to others about the limit of a backend server. @public */
export type LimitReport = z.infer<typeof limitReportSchema>;
