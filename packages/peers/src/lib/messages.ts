import {
  backendServerIdSchema,
  hostIdSchema,
  poolIdSchema,
  processIdSchema,
  rankIdSchema,
  suspectReportSchema,
  workspaceIdSchema,
} from '@endiveferry/base';
import { z } from 'zod';

/** Kind of a request from one host to another. @public */
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
  | 'free-results'
  | 'record-streams'
  | 'find-stream'
  | 'open-tunnel';

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
  'record-streams',
  'find-stream',
  'open-tunnel',
]) satisfies z.ZodType<PeerRequestKind>;

/** Schema of messages on a connection between hosts. @internal */
export const peerMessageSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('request'),
    id: z.int(),
    kind: requestKindSchema,
    body: z.unknown(),
    /** Whether the sender waits for no reply; hosts of earlier builds send one all the same. */
    isNotice: z.boolean().optional(),
  }),
  z.object({ type: z.literal('reply'), id: z.int(), body: z.unknown() }),
  z.object({ type: z.literal('refusal'), id: z.int(), detail: z.string() }),
]);

/** A message on a connection between hosts. @internal */
export type PeerMessage = z.infer<typeof peerMessageSchema>;

const requestKinds: ReadonlySet<unknown> = new Set(requestKindSchema.options);

const messageChecks: Readonly<Record<string, (message: Record<string, unknown>) => boolean>> = {
  request: (message) =>
    'body' in message &&
    requestKinds.has(message.kind) &&
    (message.isNotice === undefined || typeof message.isNotice === 'boolean'),
  reply: (message) => 'body' in message,
  refusal: ({ detail }) => typeof detail === 'string',
};

/**
 * Checks a message as {@link peerMessageSchema} does, at a fraction of its cost: each message between
 * hosts passes it.
 *
 * @param value - the decoded message
 * @returns the message; undefined when it is malformed
 * @internal
 */
export function parsePeerMessage(value: unknown): PeerMessage | undefined {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return undefined;
  const message = value as Record<string, unknown>;
  const { type } = message;
  const check =
    typeof type === 'string' && Object.hasOwn(messageChecks, type)
      ? messageChecks[type]
      : undefined;
  if (check === undefined || !Number.isSafeInteger(message.id) || !check(message)) return undefined;
  return value as PeerMessage;
}

/** Version of the protocol; hosts reject connections of other versions. @internal */
export const PROTOCOL_VERSION = 1;

/** Schema of the body of `hello`, the first request on a connection. @internal */
export const helloSchema = z.object({
  version: z.literal(PROTOCOL_VERSION),
  hostId: hostIdSchema,
  processId: processIdSchema,
});

const successorSchema = z.object({
  processId: processIdSchema,
  hostId: hostIdSchema,
  /** Number of times the keys were handed over; the successor with the highest number is valid. */
  generation: z.int(),
});

/** The host that took over the idempotency keys of a stopped process. @public */
export type Successor = z.infer<typeof successorSchema>;

/** Schema of heartbeats; empty lists are omitted on the wire. @public */
export const heartbeatSchema = z.object({
  processId: processIdSchema,
  isDraining: z.boolean(),
  configurationRevision: z.int(),
  hostListRevision: z.int(),
  /** Wall-clock time when the platform confirmed the list, in milliseconds since the Unix epoch. */
  hostListAsOf: z.number(),
  /** Stopped processes and the hosts that took over their issued keys; every host forwards them. */
  successors: z.array(successorSchema).default([]),
  /** Backend servers that this host itself has observed to be leaving. */
  leavingServers: z.array(backendServerIdSchema).default([]),
  /** Prompt prefixes that may crash engines, and those that others wrongly suspect. */
  suspects: z.array(suspectReportSchema).default([]),
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

/** State that linked hosts exchange periodically. @public */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/**
 * Converts heartbeats between their in-memory and their wire form.
 *
 * @public
 */
export interface HeartbeatCodec<HeartbeatBody> {
  /** Parses the wire form; throws when it is malformed. */
  parse(body: unknown): HeartbeatBody;
  /** Returns the wire form. */
  compact(heartbeat: HeartbeatBody): unknown;
}

/** Codec of {@link Heartbeat}, used by hosts that serve the product's own API. @public */
export const heartbeatCodec: HeartbeatCodec<Heartbeat> = {
  parse: (body) => heartbeatSchema.parse(body),
  compact: compactHeartbeat,
};

/**
 * Returns the wire form of a heartbeat, without the empty lists that parsing adds as defaults.
 *
 * @param heartbeat - the heartbeat to send
 * @returns the wire form
 * @internal
 */
export function compactHeartbeat(heartbeat: Heartbeat): z.input<typeof heartbeatSchema> {
  const { successors, leavingServers, suspects, demand, ...rest } = heartbeat;
  const { pools, workspaces } = demand;
  const hasDemand = pools.length > 0 || workspaces.length > 0;
  return {
    ...rest,
    ...(successors.length > 0 ? { successors } : {}),
    ...(leavingServers.length > 0 ? { leavingServers } : {}),
    ...(suspects.length > 0 ? { suspects } : {}),
    ...(hasDemand ? { demand } : {}),
  };
}
