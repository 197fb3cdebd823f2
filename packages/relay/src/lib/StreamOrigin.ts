import { poolIdSchema, requestIdSchema, softwareVersionSchema } from '@endiveferry/base';
import { z } from 'zod';

/** Schema of {@link StreamOrigin}. @internal */
export const streamOriginSchema = z.object({
  poolId: poolIdSchema,
  /** Absent for servers that name no version. */
  softwareVersion: softwareVersionSchema.optional(),
});

/**
 * The pool and the software version of the server that wrote the first event of a stream. Only
 * servers of the same pool and version can continue it.
 *
 * @public
 */
export type StreamOrigin = z.infer<typeof streamOriginSchema>;

/** Schema of {@link StreamRecord}. @internal */
export const streamRecordSchema = streamOriginSchema.extend({ requestId: requestIdSchema });

/** The origin of a stream, by the request that brought its first event. @internal */
export type StreamRecord = z.infer<typeof streamRecordSchema>;

/** Schema of {@link VersionReport}. @internal */
export const versionReportSchema = z.object({
  /** Time for which the sender knows which versions were listed, in milliseconds. */
  knownMs: z.number(),
  /** Versions of the pools that had several in that time. */
  versions: z.array(
    streamOriginSchema.extend({
      /** Time since the version was last listed, in milliseconds. */
      ageMs: z.number(),
    }),
  ),
});

/** Which software versions a host has seen listed. @public */
export type VersionReport = z.infer<typeof versionReportSchema>;
