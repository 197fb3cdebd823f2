import { z } from 'zod';

/** Letters, digits, dot, dash and underscore; 1 to 64 characters. */
const idPattern = /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/;

const idSchema = z
  .string()
  .regex(idPattern, 'must be 1 to 64 letters, digits, dots, dashes or underscores');

/** Schema of host ids. @public */
export const hostIdSchema = idSchema.brand<'HostId'>();
/** Identifies a host of this system. @public */
export type HostId = z.infer<typeof hostIdSchema>;

/** Schema of availability zone ids. @public */
export const availabilityZoneIdSchema = idSchema.brand<'AvailabilityZoneId'>();
/** Identifies an availability zone. @public */
export type AvailabilityZoneId = z.infer<typeof availabilityZoneIdSchema>;

/** Schema of workspace ids. @public */
export const workspaceIdSchema = idSchema.brand<'WorkspaceId'>();
/** Identifies a workspace: a customer with its API keys, weight and limits. @public */
export type WorkspaceId = z.infer<typeof workspaceIdSchema>;

/** Schema of backend server ids. @public */
export const backendServerIdSchema = idSchema.brand<'BackendServerId'>();
/** Identifies a backend server. @public */
export type BackendServerId = z.infer<typeof backendServerIdSchema>;

/** Schema of pool ids. @public */
export const poolIdSchema = idSchema.brand<'PoolId'>();
/** Identifies a pool of interchangeable backend servers. @public */
export type PoolId = z.infer<typeof poolIdSchema>;

/** Schema of pipeline ids. @public */
export const pipelineIdSchema = idSchema.brand<'PipelineId'>();
/** Identifies a pipeline. @public */
export type PipelineId = z.infer<typeof pipelineIdSchema>;

/** Schema of stage ids. @public */
export const stageIdSchema = idSchema.brand<'StageId'>();
/** Identifies a stage within its pipeline. @public */
export type StageId = z.infer<typeof stageIdSchema>;

/** Schema of rank ids. @public */
export const rankIdSchema = idSchema.brand<'RankId'>();
/** Identifies a rank of work. @public */
export type RankId = z.infer<typeof rankIdSchema>;

/** Schema of model ids. @public */
export const modelIdSchema = idSchema.brand<'ModelId'>();
/** Identifies a model that engines can load. @public */
export type ModelId = z.infer<typeof modelIdSchema>;

/** Schema of request ids. @public */
export const requestIdSchema = idSchema.brand<'RequestId'>();
/** Identifies a request of a caller. @public */
export type RequestId = z.infer<typeof requestIdSchema>;

/** Schema of the versions of backend servers' software, which have no order. @public */
export const softwareVersionSchema = z.string().min(1).max(200).brand<'SoftwareVersion'>();
/** Identifies a version of the software of backend servers. @public */
export type SoftwareVersion = z.infer<typeof softwareVersionSchema>;

/** Schema of process ids. @public */
export const processIdSchema = idSchema.brand<'ProcessId'>();
/** Identifies one run of a daemon; a restarted host keeps its host id but not this one. @public */
export type ProcessId = z.infer<typeof processIdSchema>;
