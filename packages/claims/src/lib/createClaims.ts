import { createHash } from 'node:crypto';

import { computeRendezvousOrder, type HostId, type ProcessId } from '@endiveferry/base';
import { parse as parseUuid, validate as isUuid, version as findUuidVersion } from 'uuid';

import { createOwnershipView } from './createOwnershipView.js';
import { createKeyIssuer, isSignedBy, parseIssuedKey, type IssuedKey } from './createKeyIssuer.js';
import { createKeyRegistry, type KeyRegistry } from './createKeyRegistry.js';
import { createUnprovenOutcome, keyedOutcomeSchema, type KeyedOutcome } from './KeyedOutcome.js';
import type { Claims, ClaimsOptions, Handover, HandoverPlan, KeyedRequest } from './Claims.js';

/** Bytes of a UUID of version 7 that hold its time in milliseconds. */
const UUID_TIME_BYTES = 6;

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
  const view = createOwnershipView(hostId, clock, findLimits);
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
    if (isExpired(issued)) return Promise.resolve(createUnprovenOutcome('the key has expired'));
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
    return Promise.resolve(createUnprovenOutcome(describeObstacle(obstacle ?? 'changed')));
  }

  async function forward(target: HostId, request: KeyedRequest): Promise<KeyedOutcome> {
    const reply = await options.forward(target, request);
    // Not even a forward that never left proves anything: the key may have been used before.
    if (reply.isErr())
      return createUnprovenOutcome(`${target} could not be asked: ${reply.error.detail}`);
    const outcome = keyedOutcomeSchema.safeParse(reply.value);
    return outcome.data ?? createUnprovenOutcome(`${target} gave no outcome`);
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
      const gone = createUnprovenOutcome('the process that issued the key has ended');
      return runIssued(request, issued) ?? Promise.resolve(gone);
    }
    const bornAtMs = findBirth(request.key);
    return bornAtMs === undefined ? refuseKey() : runMadeUp(request, bornAtMs);
  }

  function findTarget(request: KeyedRequest): HostId | undefined {
    const issued = parseIssuedKey(request.key);
    if (issued === undefined) {
      return findBirth(request.key) === undefined
        ? hostId
        : view.findOwner(buildScopedKey(request));
    }
    return issuedKeys.has(issued.processId) ? hostId : findIssuedHome(issued);
  }

  /** Each made-up key goes to the host that becomes its home when this one is gone. */
  function planMadeUp(hosts: readonly HostId[]): HandoverPlan[] {
    const groups = new Map<HostId, Handover['records']>();
    for (const record of ownKeys.listRecords()) {
      const [next] = computeRendezvousOrder(record.key, hosts);
      if (next === undefined) continue;
      groups.set(next, [...(groups.get(next) ?? []), record]);
    }
    return [...groups].map(([next, records]) => ({ hosts: [next], handover: { records } }));
  }

  /** A process's issued keys stay together, so that the unspent ones can still be used. */
  function planIssued(hosts: readonly HostId[]): HandoverPlan[] {
    return [...issuedKeys].map(([id, { secret, registry, generation }]) => ({
      hosts: computeRendezvousOrder(id, hosts),
      handover: {
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
        return Promise.resolve(createUnprovenOutcome('the process that issued the key has ended'));
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
    listTakenOverProcesses: () =>
      [...issuedKeys]
        .filter(([id]) => id !== processId)
        .map(([id, { generation }]) => ({ processId: id, generation })),
    countRecords: () =>
      ownKeys.size() +
      [...issuedKeys.values()].reduce((sum, { registry }) => sum + registry.size(), 0),
  };
}
