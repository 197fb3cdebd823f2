import {
  availabilityZoneIdSchema,
  backendServerIdSchema,
  hostIdSchema,
  modelIdSchema,
  pipelineIdSchema,
  poolIdSchema,
  rankIdSchema,
  stageIdSchema,
  workspaceIdSchema,
} from '@endiveferry/base';
import { z } from 'zod';

import { addressSchema, durationSchema, shareSchema } from './fields.js';

const availabilityZoneSchema = z.strictObject({ region: z.string().min(1) });

const hostSchema = z.strictObject({
  availabilityZone: availabilityZoneIdSchema,
  peerAddress: addressSchema,
});

const rankSchema = z.strictObject({
  order: z.int().min(0).describe('0 is the most urgent'),
  deadlineMs: durationSchema.describe('from arrival to the complete response, in milliseconds'),
  floorShare: shareSchema.describe('share of each pool that other ranks cannot take from this one'),
  worth: z.number().min(0).describe('value of one attained request, relative to other ranks'),
});

const workspaceLimitsSchema = z.strictObject({
  concurrentRequests: z
    .int()
    .min(1)
    .optional()
    .describe('requests in progress at the same time, summed over all hosts'),
  requestsPerSecond: z.number().positive().optional().describe('summed over all hosts'),
});

const workspaceSchema = z.strictObject({
  weight: z.number().positive().describe('share of the service, relative to other workspaces'),
  keyHashes: z
    .array(
      z
        .string()
        .regex(/^sha256:[0-9a-f]{64}$/, 'must be sha256: followed by 64 hexadecimal digits'),
    )
    .min(1)
    .describe('hashes of the bearer tokens of this workspace'),
  limits: workspaceLimitsSchema.default({}),
  pipelines: z
    .array(pipelineIdSchema)
    .optional()
    .describe('pipelines that the workspace may call; defaults to all'),
});

const modelSchema = z.strictObject({
  version: z.string().min(1),
  adapters: z.array(z.string().min(1)).default([]),
});

const backendServerSchema = z.strictObject({
  address: addressSchema,
  availabilityZone: availabilityZoneIdSchema,
  models: z.array(modelIdSchema).default([]).describe('models placed on this server'),
  isLeaving: z.boolean().default(false).describe('the server receives no new calls'),
});

/** Schema of the kinds of backend server. @public */
export const poolKindSchema = z.enum([
  'model-engine',
  'encoder',
  'retriever',
  'reranker',
  'plain-service',
]);

/** A kind of backend server. @public */
export type PoolKind = z.infer<typeof poolKindSchema>;

const poolSchema = z.strictObject({
  kind: poolKindSchema,
  serverConcurrency: z.int().min(1).describe('requests that one backend server runs concurrently'),
  refusalStatuses: z
    .array(z.int().min(400).max(599))
    .default([429])
    .describe('HTTP statuses by which a server guarantees that it did not start the call'),
  backendServers: z.record(backendServerIdSchema, backendServerSchema),
});

const jsonPointerSchema = z
  .string()
  .regex(/^(?:\/(?:[^~/]|~[01])*)*$/, 'must be a JSON Pointer, such as /request/text');

/** Schema of the source of one field of a call to a backend server. */
const inputFieldSchema = z.union([
  z.strictObject({ pointer: jsonPointerSchema }),
  z.strictObject({ value: z.json() }),
  z.strictObject({
    concat: z
      .array(z.union([z.string(), z.strictObject({ pointer: jsonPointerSchema })]))
      .min(1)
      .describe('literal texts and pointers whose values are concatenated'),
  }),
]);

/** Source of one field of a call to a backend server. @public */
export type InputField = z.infer<typeof inputFieldSchema>;

const stageSchema = z.strictObject({
  order: z.int().min(0).describe('stages run in ascending order'),
  pool: poolIdSchema,
  model: modelIdSchema.optional().describe('used for model engines only'),
  adapter: z.string().min(1).optional().describe('used for model engines only'),
  maxTokens: z.int().min(1).max(100_000).optional().describe('used for model engines only'),
  path: z
    .string()
    .regex(/^\/[^?#\s]*$/, 'must be an absolute path')
    .optional()
    .describe('used for plain services only'),
  isIdempotent: z.boolean().default(true).describe('whether a second run is harmless'),
  expectedServiceMs: durationSchema
    .default(100)
    .describe('service time assumed until enough calls have been measured'),
  input: z.record(z.string().min(1), inputFieldSchema),
});

const pipelineSchema = z.strictObject({
  rank: rankIdSchema.describe('rank of requests that name none'),
  allowedRanks: z
    .array(rankIdSchema)
    .optional()
    .describe('ranks that a request may name; defaults to the default rank alone'),
  stages: z
    .record(stageIdSchema, stageSchema)
    .refine((stages) => Object.keys(stages).length > 0, 'must have at least one stage'),
});

const limitsSchema = z.strictObject({
  maxBodyBytes: z.int().min(1).max(64_000_000).default(1_000_000),
  maxQueuedPerPool: z.int().min(1).default(2_000).describe('queued requests per pool on each host'),
  retryShare: shareSchema.default(0.1).describe('retries and hedges as a share of first attempts'),
  modelLoadsPerMinute: z
    .number()
    .positive()
    .default(60)
    .describe('model loads that the weight store accepts, summed over all hosts'),
  keyRetentionMs: durationSchema
    .default(3_600_000)
    .describe('how long a used idempotency key is retained'),
  clockSkewMs: durationSchema
    .default(2_000)
    .describe('maximum difference between the clocks of callers and hosts'),
  viewValidityMs: durationSchema
    .default(10_000)
    .describe('how long a host uses a host list after its last confirmation'),
});

/** Schema of a merged configuration; references are checked separately. @public */
export const configurationSchema = z.strictObject({
  availabilityZones: z.record(availabilityZoneIdSchema, availabilityZoneSchema),
  hosts: z.record(hostIdSchema, hostSchema),
  ranks: z.record(rankIdSchema, rankSchema),
  workspaces: z.record(workspaceIdSchema, workspaceSchema),
  models: z.record(modelIdSchema, modelSchema).default({}),
  pools: z.record(poolIdSchema, poolSchema),
  pipelines: z.record(pipelineIdSchema, pipelineSchema),
  limits: limitsSchema.prefault({}),
});

/** A configuration that matches the schema. @public */
export type Configuration = z.infer<typeof configurationSchema>;
/** A rank of requests: its order, deadline, floor and value. @public */
export type Rank = z.infer<typeof rankSchema>;
/** A workspace: its keys, weight and limits. @public */
export type Workspace = z.infer<typeof workspaceSchema>;
/** A pool of interchangeable backend servers. @public */
export type Pool = z.infer<typeof poolSchema>;
/** A backend server of a pool. @public */
export type BackendServer = z.infer<typeof backendServerSchema>;
/** A pipeline of stages. @public */
export type Pipeline = z.infer<typeof pipelineSchema>;
/** A stage of a pipeline. @public */
export type Stage = z.infer<typeof stageSchema>;
/** An entry host as listed in the configuration. @public */
export type Host = z.infer<typeof hostSchema>;
/** Limits of the entire deployment. @public */
export type Limits = z.infer<typeof limitsSchema>;
