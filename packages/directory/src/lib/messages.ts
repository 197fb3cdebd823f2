import { backendServerIdSchema, hostIdSchema } from '@endiveferry/base';
import { z } from 'zod';

const stateSchema = z.enum(['live', 'leaving']);

/** Validator of what the platform says of a configuration revision. */
const revisionSchema = z.object({
  revision: z.int().min(0),
  /** Wall-clock time up to which the platform knows of no newer one, ISO 8601. */
  asOf: z.iso.datetime(),
});

/** Validator of a configuration answer; a long document comes in parts. @internal */
export const configurationAnswerSchema = revisionSchema.extend({
  document: z.unknown().optional(),
  parts: z.int().min(1).optional(),
});

/** Validator of the platform's list of hosts. @public */
export const hostListSchema = revisionSchema.extend({
  hosts: z.record(hostIdSchema, z.object({ state: stateSchema })),
  backendServers: z.record(backendServerIdSchema, z.object({ state: stateSchema })).default({}),
});

/** The platform's list of live and leaving hosts; it lags. @public */
export type HostList = z.infer<typeof hostListSchema>;

/**
 * A numbered configuration, as the platform publishes it.
 *
 * @public
 */
export interface PublishedConfiguration {
  readonly revision: number;
  readonly document: unknown;
}
