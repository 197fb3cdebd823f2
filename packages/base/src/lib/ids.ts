import { z } from 'zod';

/** Letters, digits, dot, dash and underscore; 1 to 64 characters. */
const idPattern = /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/;

const idSchema = z
  .string()
  .regex(idPattern, 'must be 1 to 64 letters, digits, dots, dashes or underscores');

/** Validator of a host's id. @public */
export const hostIdSchema = idSchema.brand<'HostId'>();
/** Names one entry host of the system. @public */
export type HostId = z.infer<typeof hostIdSchema>;

/** Validator of an availability zone's id. @public */
export const availabilityZoneIdSchema = idSchema.brand<'AvailabilityZoneId'>();
/** Names an availability zone. @public */
export type AvailabilityZoneId = z.infer<typeof availabilityZoneIdSchema>;

/** Validator of a workspace's id. @public */
export const workspaceIdSchema = idSchema.brand<'WorkspaceId'>();
/** Names a workspace: one customer with its keys, weight and limits. @public */
export type WorkspaceId = z.infer<typeof workspaceIdSchema>;

/** Validator of a backend server's id. @public */
export const backendServerIdSchema = idSchema.brand<'BackendServerId'>();
/** Names one backend server. @public */
export type BackendServerId = z.infer<typeof backendServerIdSchema>;

/** Validator of a pool's id. @public */
export const poolIdSchema = idSchema.brand<'PoolId'>();
/** Names a pool of interchangeable backend servers. @public */
export type PoolId = z.infer<typeof poolIdSchema>;

/** Validator of a pipeline's id. @public */
export const pipelineIdSchema = idSchema.brand<'PipelineId'>();
/** Names a pipeline. @public */
export type PipelineId = z.infer<typeof pipelineIdSchema>;

/** Validator of a stage's id. @public */
export const stageIdSchema = idSchema.brand<'StageId'>();
/** Names a stage within its pipeline. @public */
export type StageId = z.infer<typeof stageIdSchema>;

/** Validator of a rank's id. @public */
export const rankIdSchema = idSchema.brand<'RankId'>();
/** Names a rank of work. @public */
export type RankId = z.infer<typeof rankIdSchema>;

/** Validator of a model's id. @public */
export const modelIdSchema = idSchema.brand<'ModelId'>();
/** Names a model that engines can load. @public */
export type ModelId = z.infer<typeof modelIdSchema>;

/** Validator of a request's id. @public */
export const requestIdSchema = idSchema.brand<'RequestId'>();
/** Names one request of a caller. @public */
export type RequestId = z.infer<typeof requestIdSchema>;

/** Validator of the name of one run of a daemon. @public */
export const processIdSchema = idSchema.brand<'ProcessId'>();
/** Names one run of a daemon: a host that restarts keeps its host id and gets a new one of these. @public */
export type ProcessId = z.infer<typeof processIdSchema>;
