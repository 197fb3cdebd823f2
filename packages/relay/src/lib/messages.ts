import {
  availabilityZoneIdSchema,
  backendServerIdSchema,
  hostIdSchema,
  poolIdSchema,
  processIdSchema,
  requestIdSchema,
} from '@endiveferry/base';
import type { HeartbeatCodec } from '@endiveferry/peers';
import { z } from 'zod';

import { rankWaitSchema } from './pieces/RankWait.js';

/** A host, how long ago it was heard, in milliseconds, whether it stops, and its weight. */
const reportedHostSchema = z.tuple([hostIdSchema, z.number(), z.boolean(), z.number().positive()]);

/** What one host tells of another. @internal */
export type ReportedHost = z.infer<typeof reportedHostSchema>;

const reportedWaitsSchema = z.object({
  poolId: poolIdSchema,
  /** How old the waiting times are, in milliseconds. */
  ageMs: z.number(),
  byRank: z.array(rankWaitSchema).readonly(),
});

/** Waiting times of one pool, as hosts tell them. @public */
export type ReportedWaits = z.infer<typeof reportedWaitsSchema>;

/** Validator of a heartbeat between relay hosts. */
const relayHeartbeatSchema = z.object({
  processId: processIdSchema,
  availabilityZone: availabilityZoneIdSchema,
  /** Takes no more work; what it has is finished. */
  isStopping: z.boolean(),
  /** Part of the work for all hosts that it takes, against others. */
  weight: z.number().positive(),
  /** Version of the configuration in force; 0 when none is known. */
  version: z.int(),
  /** Time since that version was last confirmed, in milliseconds; absent when never. */
  confirmedAgeMs: z.number().optional(),
  /** Revision of the list of backend servers; 0 when none is known. */
  serversRevision: z.int(),
  /** Hosts that were heard lately, by this one or by those that told it. */
  hosts: z.array(reportedHostSchema).default([]),
  /** Waiting times at dispatchers, on this host and as it was told. */
  waits: z.array(reportedWaitsSchema).default([]),
  /** Prompt tokens of this host's requests that engines have not read yet. */
  pending: z.array(z.object({ serverId: backendServerIdSchema, tokens: z.number() })).default([]),
});

/** What relay hosts tell each other all the time. @public */
export type RelayHeartbeat = z.infer<typeof relayHeartbeatSchema>;

/** Reads and writes heartbeats. @internal */
export const relayHeartbeatCodec: HeartbeatCodec<RelayHeartbeat> = {
  parse: (body) => relayHeartbeatSchema.parse(body),
  compact: (heartbeat) => heartbeat,
};

/** Validator of a request to make the pieces of one stage. @internal */
export const runPiecesRequestSchema = z.object({
  poolId: poolIdSchema,
  /** Names the order among those of one host, to cancel it by. */
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
  /** Time for which the inputs are kept, in milliseconds; absent without inputs. */
  inputsRemainingMs: z.number().optional(),
  resultBytes: z.number(),
  /** Time until nobody wants the results, in milliseconds. */
  remainingMs: z.number(),
  /** Time until the stage has to be done for the target, in milliseconds. */
  targetRemainingMs: z.number(),
});

/** A request to make the pieces of one stage. @internal */
export type RunPiecesRequest = z.infer<typeof runPiecesRequestSchema>;

const pieceResultSchema = z.object({ serverId: backendServerIdSchema, handle: z.string() });

/** Validator of the answer to a request for pieces. @internal */
export const runPiecesReplySchema = z.object({
  /** Waiting times at the dispatcher now. */
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

/** The answer to a request for pieces. @internal */
export type RunPiecesReply = z.infer<typeof runPiecesReplySchema>;

/** Validator of a request to give an order up. @internal */
export const cancelPiecesSchema = z.object({ poolId: poolIdSchema, orderId: z.string() });

/** Validator of the news that an order's inputs were fetched. @internal */
export const inputsFetchedSchema = z.object({ orderId: z.string() });

/** Validator of a request to free results. @internal */
export const freeResultsSchema = z.object({
  poolId: poolIdSchema,
  results: z.array(pieceResultSchema),
});

/** Validator of a configuration that a host passes on. @internal */
export const configurationReplySchema = z.object({
  text: z.string(),
  version: z.int(),
  confirmedAgeMs: z.number().optional(),
});

const listedServerSchema = z.object({
  serverId: backendServerIdSchema,
  poolId: poolIdSchema,
  address: z.string(),
  availabilityZone: availabilityZoneIdSchema,
  slots: z.number(),
  isLeaving: z.boolean(),
});

/** Validator of a list of backend servers that a host passes on. @internal */
export const serverListReplySchema = z.object({
  revision: z.int(),
  servers: z.array(listedServerSchema),
});
