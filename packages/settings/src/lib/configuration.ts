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
  deadlineMs: durationSchema.describe('from arrival to the whole answer, in milliseconds'),
  floorShare: shareSchema.describe('share of each pool that other ranks cannot take from it'),
  worth: z.number().min(0).describe('what one attained request is worth, against other ranks'),
});

const workspaceLimitsSchema = z.strictObject({
  concurrentRequests: z.int().min(1).optional().describe('at once, over all hosts'),
  requestsPerSecond: z.number().positive().optional().describe('over all hosts'),
});

const workspaceSchema = z.strictObject({
  weight: z.number().positive().describe('share of service against other workspaces'),
  keyHashes: z
    .array(z.string().regex(/^sha256:[0-9a-f]{64}$/, 'must be sha256: and 64 hexadecimal digits'))
    .min(1)
    .describe('hashes of the bearer tokens of this workspace'),
  limits: workspaceLimitsSchema.default({}),
  pipelines: z
    .array(pipelineIdSchema)
    .optional()
    .describe('the pipelines it may call; all when left out'),
});

const modelSchema = z.strictObject({
  version: z.string().min(1),
  adapters: z.array(z.string().min(1)).default([]),
});

const backendServerSchema = z.strictObject({
  address: addressSchema,
  availabilityZone: availabilityZoneIdSchema,
  models: z.array(modelIdSchema).default([]).describe('models placed on this server'),
  isLeaving: z.boolean().default(false).describe('gets no new work'),
});

/** Validator of the kinds of backend server. @public */
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
  serverConcurrency: z.int().min(1).describe('requests that one backend server runs at once'),
  refusalStatuses: z
    .array(z.int().min(400).max(599))
    .default([429])
    .describe('HTTP statuses by which a server promises that it did not start the call'),
  backendServers: z.record(backendServerIdSchema, backendServerSchema),
});

const jsonPointerSchema = z
  .string()
  .regex(/^(?:\/(?:[^~/]|~[01])*)*$/, 'must be a JSON Pointer, such as /request/text');

/** Validator of where one field of a call comes from. */
const inputFieldSchema = z.union([
  z.strictObject({ pointer: jsonPointerSchema }),
  z.strictObject({ value: z.json() }),
  z.strictObject({
    concat: z
      .array(z.union([z.string(), z.strictObject({ pointer: jsonPointerSchema })]))
      .min(1)
      .describe('texts and pointers, joined'),
  }),
]);

/** Where one field of a call to a backend server comes from. @public */
export type InputField = z.infer<typeof inputFieldSchema>;

const stageSchema = z.strictObject({
  order: z.int().min(0).describe('stages run in ascending order'),
  pool: poolIdSchema,
  model: modelIdSchema.optional().describe('for model engines'),
  adapter: z.string().min(1).optional().describe('for model engines'),
  maxTokens: z.int().min(1).max(100_000).optional().describe('for model engines'),
  path: z
    .string()
    .regex(/^\/[^?#\s]*$/, 'must be an absolute path')
    .optional()
    .describe('for plain services'),
  isIdempotent: z.boolean().default(true).describe('whether a second run does no harm'),
  expectedServiceMs: durationSchema
    .default(100)
    .describe('service time assumed until enough calls were measured'),
  input: z.record(z.string().min(1), inputFieldSchema),
});

const pipelineSchema = z.strictObject({
  rank: rankIdSchema.describe('used when the caller names none'),
  allowedRanks: z.array(rankIdSchema).optional().describe('only the default rank when left out'),
  stages: z
    .record(stageIdSchema, stageSchema)
    .refine((stages) => Object.keys(stages).length > 0, 'needs at least one stage'),
});

const limitsSchema = z.strictObject({
  maxBodyBytes: z.int().min(1).max(64_000_000).default(1_000_000),
  maxQueuedPerPool: z.int().min(1).default(2_000).describe('requests waiting, on each host'),
  retryShare: shareSchema.default(0.1).describe('retries and hedges against first tries'),
  modelLoadsPerMinute: z
    .number()
    .positive()
    .default(60)
    .describe('loads that the weight store takes, from all hosts together'),
  keyRetentionMs: durationSchema
    .default(3_600_000)
    .describe('how long a used idempotency key is remembered'),
  clockSkewMs: durationSchema
    .default(2_000)
    .describe('how far the clocks of callers and hosts may lie apart'),
  viewValidityMs: durationSchema
    .default(10_000)
    .describe('how long a host acts on a list of hosts that nothing has confirmed since'),
});

/** Validator of the shape of a merged configuration. @public */
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

/** A valid configuration. @public */
export type Configuration = z.infer<typeof configurationSchema>;
/** One rank of work. @public */
export type Rank = z.infer<typeof rankSchema>;
/** One workspace. @public */
export type Workspace = z.infer<typeof workspaceSchema>;
/** One pool of interchangeable backend servers. @public */
export type Pool = z.infer<typeof poolSchema>;
/** One backend server. @public */
export type BackendServer = z.infer<typeof backendServerSchema>;
/** One pipeline. @public */
export type Pipeline = z.infer<typeof pipelineSchema>;
/** One stage of a pipeline. @public */
export type Stage = z.infer<typeof stageSchema>;
/** One entry host as the configuration lists it. @public */
export type Host = z.infer<typeof hostSchema>;
/** The limits that hold for the whole system. @public */
export type Limits = z.infer<typeof limitsSchema>;
