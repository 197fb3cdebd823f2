import { backoffReportSchema, limitReportSchema } from '@endiveferry/admission';
import {
  availabilityZoneIdSchema,
  backendServerIdSchema,
  hostIdSchema,
  poolIdSchema,
  processIdSchema,
  requestIdSchema,
  softwareVersionSchema,
  suspectReportSchema,
} from '@endiveferry/base';
import type { HeartbeatCodec } from '@endiveferry/peers';
import { serverAddressSchema } from '@endiveferry/settings';
import { z } from 'zod';

import { evacuationReportSchema } from '../servers/createEvacuatedZones.js';
import { warmUpReportSchema } from '../servers/createWarmUps.js';
import { leavingReportSchema } from '../servers/createLeavingServers.js';
import { rampReportSchema } from '../servers/RampReport.js';
import { rankWaitSchema } from '../RankWait.js';
import { versionReportSchema } from '../StreamOrigin.js';

/**
 * A host, the age of its last heartbeat in milliseconds, whether it is stopping, and its weight.
 */
const reportedHostSchema = z.tuple([hostIdSchema, z.number(), z.boolean(), z.number().positive()]);

/** What a heartbeat reports of a third host. @internal */
export type ReportedHost = z.infer<typeof reportedHostSchema>;

const reportedWaitsSchema = z.object({
  poolId: poolIdSchema,
  /** Age of the waiting times, in milliseconds. */
  ageMs: z.number(),
  byRank: z.array(rankWaitSchema).readonly(),
});

/** Waiting times of one pool, as hosts report them. @public */
export type ReportedWaits = z.infer<typeof reportedWaitsSchema>;

/** Schema of a heartbeat between relay hosts. */
const relayHeartbeatSchema = z.object({
  processId: processIdSchema,
  availabilityZone: availabilityZoneIdSchema,
  /** Accepts no new work, and completes what it has. */
  isStopping: z.boolean(),
  /** Reaches most backend servers through other hosts only. */
  isCutOff: z.boolean().default(false),
  /** Relative weight of the host in the choice of dispatchers. */
  weight: z.number().positive(),
  /** Version of the configuration in force; 0 when none is known. */
  version: z.int(),
  /** Time since that version was last confirmed, in milliseconds; absent without a confirmation. */
  confirmedAgeMs: z.number().optional(),
  /** Epoch of the store in which the list of backend servers was read; 0 when none is known. */
  serversEpoch: z.int().default(0),
  /** Revision of that list in its epoch. */
  serversRevision: z.int(),
  /** Other hosts with a recent heartbeat, received directly or reported by others. */
  hosts: z.array(reportedHostSchema).default([]),
  /** Waiting times at dispatchers, of this host and as reported by others. */
  waits: z.array(reportedWaitsSchema).default([]),
  /** Number of unread prompt tokens of this host's requests, per engine. */
  pending: z.array(z.object({ serverId: backendServerIdSchema, tokens: z.number() })).default([]),
  /** Prompt parts that may crash backend servers, and parts that others wrongly suspect. */
  suspects: z.array(suspectReportSchema).default([]),
  /** Limits that backend servers have named, and those that ended recently. */
  limits: z.array(limitReportSchema).default([]),
  /** Backoffs that backend servers have requested from hosts that share connections. */
  backoffs: z.array(backoffReportSchema).default([]),
  /** Backend servers that have said that they leave. */
  leaving: z.array(leavingReportSchema).default([]),
  /** Backend servers that get only a share of their normal work, and those that did recently. */
  ramps: z.array(rampReportSchema).optional(),
  /** Software versions that the sender has seen listed; absent from hosts that don't track them. */
  versions: versionReportSchema.optional(),
  /** Evacuated availability zones; absent from hosts that do not know of any state of them. */
  evacuated: evacuationReportSchema.optional(),
  /** Backend servers whose responses said that they are cold. */
  warmUps: z.array(warmUpReportSchema).optional(),
  /** Hosts that are not live any more, each with the time since it was, in milliseconds. */
  lost: z.array(z.tuple([hostIdSchema, z.number()])).optional(),
});

/** State that relay hosts send each other periodically. @public */
export type RelayHeartbeat = z.infer<typeof relayHeartbeatSchema>;

/** The part of a heartbeat on dispatchers, on prompts, and on backend servers. @public */
export type HeartbeatLoad = Pick<
  RelayHeartbeat,
  | 'waits'
  | 'pending'
  | 'suspects'
  | 'limits'
  | 'backoffs'
  | 'leaving'
  | 'ramps'
  | 'versions'
  | 'evacuated'
  | 'warmUps'
  | 'lost'
>;

/** Codec of heartbeats. @internal */
export const relayHeartbeatCodec: HeartbeatCodec<RelayHeartbeat> = {
  parse: (body) => relayHeartbeatSchema.parse(body),
  compact: (heartbeat) => heartbeat,
};

/** Schema of a request to run the pieces of one stage. @internal */
export const runPiecesRequestSchema = z.object({
  poolId: poolIdSchema,
  /** Identifies this request in later messages, such as its cancellation. */
  orderId: z.string(),
  requestId: requestIdSchema,
  stageIndex: z.int(),
  pieceCount: z.int().min(1),
  rank: z.int(),
  key: z.string().optional(),
  inputs: z.array(z.string()).optional(),
  homeZone: availabilityZoneIdSchema.optional(),
  movedBytes: z.number(),
  isEntry: z.boolean(),
  followers: z.array(poolIdSchema),
  /** Time until the inputs expire, in milliseconds; absent without inputs. */
  inputsRemainingMs: z.number().optional(),
  resultBytes: z.number(),
  /** Time after which the results are no longer needed, in milliseconds. */
  remainingMs: z.number(),
  /** Time within which the stage must be done to meet the target latency, in milliseconds. */
  targetRemainingMs: z.number(),
});

/** A request to run the pieces of one stage. @internal */
export type RunPiecesRequest = z.infer<typeof runPiecesRequestSchema>;

const pieceResultSchema = z.object({ serverId: backendServerIdSchema, handle: z.string() });

/** Schema of the response to {@link RunPiecesRequest}. @internal */
export const runPiecesReplySchema = z.object({
  /** Current waiting times at the dispatcher. */
  byRank: z.array(rankWaitSchema).readonly(),
  outcome: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('made'), results: z.array(pieceResultSchema) }),
    z.object({
      kind: z.literal('failed'),
      reason: z.enum([
        'deadline-exceeded',
        'server-error',
        'input-lost',
        'cancelled',
        'overloaded',
      ]),
      detail: z.string(),
      retryAfterMs: z.number().optional(),
    }),
  ]),
});

/** The response to {@link RunPiecesRequest}. @internal */
export type RunPiecesReply = z.infer<typeof runPiecesReplySchema>;

/** Schema of a request to cancel a {@link RunPiecesRequest}. @internal */
export const cancelPiecesSchema = z.object({ poolId: poolIdSchema, orderId: z.string() });

/**
 * Schema of a notification that the inputs of a {@link RunPiecesRequest} were fetched.
 *
 * @internal
 */
export const inputsFetchedSchema = z.object({ orderId: z.string() });

/** Schema of a request to free stage results. @internal */
export const freeResultsSchema = z.object({
  poolId: poolIdSchema,
  results: z.array(pieceResultSchema),
});

/** Schema of the response to a `read-configuration` request. @internal */
export const configurationReplySchema = z.object({
  text: z.string(),
  version: z.int(),
  confirmedAgeMs: z.number().optional(),
});

/** Schema of a backend server that another host lists. @internal */
export const listedServerSchema = z.object({
  serverId: backendServerIdSchema,
  poolId: poolIdSchema,
  address: serverAddressSchema,
  availabilityZone: availabilityZoneIdSchema,
  slots: z.number(),
  isLeaving: z.boolean(),
  softwareVersion: softwareVersionSchema.optional(),
  startedAt: z.int().optional(),
  warmUpLeftMs: z.number().optional(),
});

/** Schema of the response to a `read-servers` request. @internal */
export const serverListReplySchema = z.object({
  epoch: z.int().default(0),
  revision: z.int(),
  /** Each is decoded by itself: hosts of other builds may list what this one does not accept. */
  servers: z.array(z.unknown()),
});
