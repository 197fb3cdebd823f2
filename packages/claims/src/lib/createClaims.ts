import { createHash } from 'node:crypto';

import {
  pipelineIdSchema,
  processIdSchema,
  rankIdSchema,
  requestIdSchema,
  workspaceIdSchema,
  computeRendezvousOrder,
  type Clock,
  type HostId,
  type ProcessId,
  type WorkspaceId,
} from '@endiveferry/base';
import type { PeerFailure } from '@endiveferry/peers';
import type { Result } from 'neverthrow';
import { parse as parseUuid, validate as isUuid, version as findUuidVersion } from 'uuid';
import { z } from 'zod';

import { createHomeView, type HomeLimits, type HomeView } from './createHomeView.js';
import { createKeyIssuer, isSignedBy, parseIssuedKey, type IssuedKey } from './createKeyIssuer.js';
import { createKeyRegistry, type KeyRegistry } from './createKeyRegistry.js';
import { createUnproven, keyedOutcomeSchema, type KeyedOutcome } from './KeyedOutcome.js';

/** Bytes of a UUID of version 7 that hold its time in milliseconds. */
const UUID_TIME_BYTES = 6;

/** Validator of a keyed request, as hosts forward it. @public */
export const keyedRequestSchema = z.object({
  requestId: requestIdSchema,
  workspaceId: workspaceIdSchema,
  pipelineId: pipelineIdSchema,
  rankId: rankIdSchema,
  key: z.string().min(1).max(300),
  /** Time left to the deadline, in milliseconds. */
  remainingMs: z.number(),
  body: z.unknown(),
});

/** A request that may run at most once under its key. @public */
export type KeyedRequest = z.infer<typeof keyedRequestSchema>;

const recordSchema = z.object({
  key: z.string(),
  bodyHash: z.string(),
  outcome: keyedOutcomeSchema.or(z.undefined()),
});

/** Validator of what a stopping host hands on. @public */
export const handOverSchema = z.object({
  /** Absent when only answers to made-up keys are handed on. */
  process: z
    .object({ processId: processIdSchema, secret: z.string(), generation: z.int() })
    .optional(),
  records: z.array(recordSchema),
});

/** What a stopping host hands on. @public */
export type HandOver = z.infer<typeof handOverSchema>;

/**
 * Something that a stopping host hands on.
 *
 * @public
 */
export interface HandOverPlan {
  /** Who should take it, best first; at most one host may ever be given it. */
  readonly hosts: readonly HostId[];
  readonly handOver: HandOver;
}

/** Runs a keyed request here; `mayRun` is asked again right before anything is written. @public */
export type ExecuteKeyed = (request: KeyedRequest, mayRun: () => boolean) => Promise<KeyedOutcome>;

/**
 * Options of claims.
 *
 * @public
 */
export interface ClaimsOptions {
  readonly hostId: HostId;
  readonly processId: ProcessId;
  /** Signs the keys that this process issues. */
  readonly secret: string;
  readonly clock: Clock;
  readonly findLimits: () => HomeLimits;
  /** The process that a host runs now, as far as its heartbeats tell. */
  readonly findProcess: (hostId: HostId) => ProcessId | undefined;
  /** The host that has taken over the keys of a process that stopped. */
  readonly findSuccessor: (processId: ProcessId) => HostId | undefined;
  readonly forward: (
    hostId: HostId,
    request: KeyedRequest,
  ) => Promise<Result<unknown, PeerFailure>>;
  readonly execute: ExecuteKeyed;
}

/**
 * A process whose issued keys this host has taken over.
 *
 * @public
 */
export interface TakenOver {
  readonly processId: ProcessId;
  /** How often its keys were handed on. */
  readonly generation: number;
}

/**
 * Runs each key's request at most once across all hosts.
 *
 * @public
 */
export interface Claims {
  /** Issues a key that works even while the platform is down. */
  issueKey(workspaceId: WorkspaceId): string;
  /** Runs a request wherever its key belongs. */
  run(request: KeyedRequest): Promise<KeyedOutcome>;
  /** Runs a request that another host sent here because it holds this host for the home. */
  runForwarded(request: KeyedRequest): Promise<KeyedOutcome>;
  readonly view: HomeView;
  /** Takes over from a host that stops. */
  takeOver(handOver: HandOver): void;
  /** Runs no more keys, and builds what is to be handed on; see {@link HandOverPlan}. */
  close(hosts: readonly HostId[]): readonly HandOverPlan[];
  /** Processes whose keys this host has taken over. */
  readonly listTakenOver: () => readonly TakenOver[];
  readonly countRecords: () => number;
}

/** The keys that one process issued, where they may be used now. */
interface IssuedKeys {
  readonly secret: string;
  readonly registry: KeyRegistry;
  readonly generation: number;
}

/** Finds when a UUID of version 7 was made; undefined for any other key. */
function findBirth(key: string): number | undefined {
  if (!isUuid(key) || findUuidVersion(key) !== 7) return undefined;
  return Buffer.from(parseUuid(key)).readUIntBE(0, UUID_TIME_BYTES);
}

function computeBodyHash(request: KeyedRequest): string {
  return createHash('sha256')
    .update(JSON.stringify([request.pipelineId, request.body]))
    .digest('base64url');
}

function describeObstacle(obstacle: string): string {
  return `this host cannot prove that the key was not used before (${obstacle})`;
}

const buildScopedKey = (request: KeyedRequest) => `${request.workspaceId}\u0000${request.key}`;

/**
 * Creates the claims of one process.
 *
 * @param options - see {@link ClaimsOptions}
 * @returns the claims
 * @public
 */
export function createClaims(options: ClaimsOptions): Claims {
  const { hostId, processId, clock, findLimits } = options;
  const issuer = createKeyIssuer(options);
  const view = createHomeView(hostId, clock, findLimits);
  const createRegistry = () => createKeyRegistry(clock, () => findLimits().keyRetentionMs);
  const ownKeys = createRegistry();
  const issuedKeys = new Map<ProcessId, IssuedKeys>([
    [processId, { secret: options.secret, registry: createRegistry(), generation: 0 }],
  ]);
  let isClosed = false;

  const isExpired = (issued: IssuedKey) =>
    !(issued.issuedAt > clock.wallTime() - findLimits().keyRetentionMs);

  function runIssued(request: KeyedRequest, issued: IssuedKey): Promise<KeyedOutcome> | undefined {
    const keys = issuedKeys.get(issued.processId);
    if (keys === undefined || isClosed) return undefined;
    if (!isSignedBy(issued, keys.secret, request.workspaceId)) {
      const detail = 'the key was not issued to this workspace';
      return Promise.resolve({
        kind: 'failure',
        reason: 'bad-request',
        detail,
        execution: 'not-run',
      });
    }
    if (isExpired(issued)) return Promise.resolve(createUnproven('the key has expired'));
    return keys.registry.runOnce(buildScopedKey(request), computeBodyHash(request), () =>
      options.execute(request, () => !isClosed),
    );
  }

  function findIssuedHome(issued: IssuedKey): HostId | undefined {
    const successor = options.findSuccessor(issued.processId);
    if (successor !== undefined) return successor;
    const current = options.findProcess(issued.hostId);
    return current === undefined || current === issued.processId ? issued.hostId : undefined;
  }

  function runMadeUp(request: KeyedRequest, bornAtMs: number): Promise<KeyedOutcome> {
    const key = buildScopedKey(request);
    const bodyHash = computeBodyHash(request);
    const mayRun = () => !isClosed && view.findObstacle(key, bornAtMs) === undefined;
    if (ownKeys.hasRecord(key) || mayRun()) {
      return ownKeys.runOnce(key, bodyHash, () => options.execute(request, mayRun));
    }
    const obstacle = isClosed ? 'stopping' : view.findObstacle(key, bornAtMs);
    return Promise.resolve(createUnproven(describeObstacle(obstacle ?? 'changed')));
  }

  async function forward(target: HostId, request: KeyedRequest): Promise<KeyedOutcome> {
    const reply = await options.forward(target, request);
    // Not even a forward that never left proves anything: the key may have been used before.
    if (reply.isErr()) return createUnproven(`${target} could not be asked: ${reply.error.detail}`);
    const outcome = keyedOutcomeSchema.safeParse(reply.value);
    return outcome.data ?? createUnproven(`${target} gave no outcome`);
  }

  function refuseKey(): Promise<KeyedOutcome> {
    const detail = 'the key must be one that this system issued, or a UUID of version 7';
    return Promise.resolve({
      kind: 'failure',
      reason: 'bad-request',
      detail,
      execution: 'not-run',
    });
  }

  function runHere(request: KeyedRequest): Promise<KeyedOutcome> {
    const issued = parseIssuedKey(request.key);
    if (issued !== undefined) {
      const gone = createUnproven('the process that issued the key has ended');
      return runIssued(request, issued) ?? Promise.resolve(gone);
    }
    const bornAtMs = findBirth(request.key);
    return bornAtMs === undefined ? refuseKey() : runMadeUp(request, bornAtMs);
  }

  function findTarget(request: KeyedRequest): HostId | undefined {
    const issued = parseIssuedKey(request.key);
    if (issued === undefined) {
      return findBirth(request.key) === undefined ? hostId : view.findHome(buildScopedKey(request));
    }
    return issuedKeys.has(issued.processId) ? hostId : findIssuedHome(issued);
  }

  /** Each made-up key goes to the host that becomes its home when this one is gone. */
  function planMadeUp(hosts: readonly HostId[]): HandOverPlan[] {
    const groups = new Map<HostId, HandOver['records']>();
    for (const record of ownKeys.listRecords()) {
      const [next] = computeRendezvousOrder(record.key, hosts);
      if (next === undefined) continue;
      groups.set(next, [...(groups.get(next) ?? []), record]);
    }
    return [...groups].map(([next, records]) => ({ hosts: [next], handOver: { records } }));
  }

  /** A process's issued keys stay together, so that the unspent ones can still be used. */
  function planIssued(hosts: readonly HostId[]): HandOverPlan[] {
    return [...issuedKeys].map(([id, { secret, registry, generation }]) => ({
      hosts: computeRendezvousOrder(id, hosts),
      handOver: {
        process: { processId: id, secret, generation: generation + 1 },
        records: [...registry.listRecords()],
      },
    }));
  }

  return {
    issueKey: (workspaceId) => issuer.issue(workspaceId),
    run(request) {
      const target = findTarget(request);
      if (target === undefined) {
        return Promise.resolve(createUnproven('the process that issued the key has ended'));
      }
      return target === hostId ? runHere(request) : forward(target, request);
    },
    runForwarded: runHere,
    view,
    takeOver({ process, records }) {
      if (process === undefined) {
        for (const record of records) ownKeys.addRecord(record);
        return;
      }
      const { secret, generation } = process;
      // A hand-over that comes twice must not make the keys used since look unspent.
      if (issuedKeys.has(process.processId)) return;
      const registry = createRegistry();
      issuedKeys.set(process.processId, { secret, registry, generation });
      for (const record of records) registry.addRecord(record);
    },
    close(hosts) {
      isClosed = true;
      return [...planIssued(hosts), ...planMadeUp(hosts)];
    },
    listTakenOver: () =>
      [...issuedKeys]
        .filter(([id]) => id !== processId)
        .map(([id, { generation }]) => ({ processId: id, generation })),
    countRecords: () =>
      ownKeys.size() +
      [...issuedKeys.values()].reduce((sum, { registry }) => sum + registry.size(), 0),
  };
}
