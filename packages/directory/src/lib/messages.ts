import { backendServerIdSchema, hostIdSchema } from '@endiveferry/base';
import { z } from 'zod';

const stateSchema = z.enum(['live', 'leaving']);

/** Validator of the revision fields that configuration and host list responses share. */
const revisionSchema = z.object({
  revision: z.int().min(0),
  /** Wall-clock time up to which the platform knows of no newer revision, ISO 8601. */
  asOf: z.iso.datetime(),
});

/** Validator of a configuration response; a long document is fetched in parts. @internal */
export const configurationResponseSchema = revisionSchema.extend({
  document: z.unknown().optional(),
  parts: z.int().min(1).optional(),
});

/** Validator of the platform's list of hosts and backend servers. @public */
export const hostListSchema = revisionSchema.extend({
  hosts: z.record(hostIdSchema, z.object({ state: stateSchema })),
  backendServers: z.record(backendServerIdSchema, z.object({ state: stateSchema })).default({}),
});

/** The platform's list of live and leaving hosts; it lags behind their actual state. @public */
export type HostList = z.infer<typeof hostListSchema>;

/**
 * A configuration document with its revision, as published by the platform.
 *
 * @public
 */
export interface PublishedConfiguration {
  readonly revision: number;
  readonly document: unknown;
}
