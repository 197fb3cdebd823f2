import {
  backendServerIdSchema,
  hostIdSchema,
  poolIdSchema,
  processIdSchema,
  rankIdSchema,
  workspaceIdSchema,
} from '@endiveferry/base';
import { z } from 'zod';

/** What one host may ask of another. @public */
export type PeerRequestKind =
  | 'hello'
  | 'ping'
  | 'heartbeat'
  | 'read-configuration'
  | 'read-host-list'
  | 'forward-request'
  | 'take-over-keys'
  | 'read-servers'
  | 'run-pieces'
  | 'cancel-pieces'
  | 'inputs-fetched'
  | 'free-results';

const requestKindSchema = z.enum([
  'hello',
  'ping',
  'heartbeat',
  'read-configuration',
  'read-host-list',
  'forward-request',
  'take-over-keys',
  'read-servers',
  'run-pieces',
  'cancel-pieces',
  'inputs-fetched',
  'free-results',
]) satisfies z.ZodType<PeerRequestKind>;

/** Validator of one message on a connection between hosts. @internal */
export const peerMessageSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('request'),
    id: z.int(),
    kind: requestKindSchema,
    body: z.unknown(),
  }),
  z.object({ type: z.literal('reply'), id: z.int(), body: z.unknown() }),
  z.object({ type: z.literal('refusal'), id: z.int(), detail: z.string() }),
]);

/** One message on a connection between hosts. @internal */
export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** Version of the messages; hosts of different versions refuse each other. @internal */
export const PROTOCOL_VERSION = 1;

/** Validator of the first message on a connection. @internal */
export const helloSchema = z.object({
  version: z.literal(PROTOCOL_VERSION),
  hostId: hostIdSchema,
  processId: processIdSchema,
});

const successorSchema = z.object({
  processId: processIdSchema,
  hostId: hostIdSchema,
  /** How often the keys were handed on; the highest is the one that counts. */
  generation: z.int(),
});

/** Who answers for the keys of a process that stopped. @public */
export type Successor = z.infer<typeof successorSchema>;

/** Validator of a heartbeat; what is empty is left out on the wire. @public */
export const heartbeatSchema = z.object({
  processId: processIdSchema,
  isDraining: z.boolean(),
  configurationRevision: z.int(),
  hostListRevision: z.int(),
  /** Wall-clock time at which the platform confirmed the list, in milliseconds since 1970. */
  hostListAsOf: z.number(),
  /** Stopped processes and the hosts that took over their issued keys; passed on by all. */
  successors: z.array(successorSchema).default([]),
  /** Backend servers that this host itself has seen to be leaving. */
  leavingServers: z.array(backendServerIdSchema).default([]),
  demand: z
    .object({
      pools: z
        .array(
          z.object({
            poolId: poolIdSchema,
            slots: z.array(
              z.object({
                rankId: rankIdSchema,
                workspaceId: workspaceIdSchema,
                slots: z.number(),
              }),
            ),
          }),
        )
        .default([]),
      workspaces: z
        .array(z.object({ workspaceId: workspaceIdSchema, rate: z.number() }))
        .default([]),
    })
    .prefault({}),
});

/** What hosts tell each other all the time. @public */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/**
 * Reads and writes what hosts tell each other all the time.
 *
 * @public
 */
export interface HeartbeatCodec<Beat> {
  /** Reads a heartbeat off the wire; throws when it is malformed. */
  parse(body: unknown): Beat;
  /** Makes what goes on the wire. */
  compact(heartbeat: Beat): unknown;
}

/** The heartbeats of hosts that serve the product's own interface. @public */
export const heartbeatCodec: HeartbeatCodec<Heartbeat> = {
  parse: (body) => heartbeatSchema.parse(body),
  compact: compactHeartbeat,
};

/**
 * Leaves out what the reader fills in by itself.
 *
 * @param heartbeat - the heartbeat
 * @returns what goes on the wire
 * @internal
 */
export function compactHeartbeat(heartbeat: Heartbeat): z.input<typeof heartbeatSchema> {
  const { successors, leavingServers, demand, ...rest } = heartbeat;
  const { pools, workspaces } = demand;
  const hasDemand = pools.length > 0 || workspaces.length > 0;
  return {
    ...rest,
    ...(successors.length > 0 ? { successors } : {}),
    ...(leavingServers.length > 0 ? { leavingServers } : {}),
    ...(hasDemand ? { demand } : {}),
  };
}
