import { createHash } from 'node:crypto';

import { computeRendezvousOrder, type HostId, type ProcessId } from '@endiveferry/base';
import { parse as parseUuid, validate as isUuid, version as getUuidVersion } from 'uuid';

import { createOwnershipView } from './createOwnershipView.js';
import { createKeyIssuer, isSignedBy, parseIssuedKey, type IssuedKey } from './createKeyIssuer.js';
import { createKeyRegistry, type KeyRegistry } from './createKeyRegistry.js';
import { createUnprovenOutcome, keyedOutcomeSchema, type KeyedOutcome } from './KeyedOutcome.js';
import type { Claims, ClaimsOptions, Handover, HandoverPlan, KeyedRequest } from './Claims.js';

/** Leading bytes of a UUID of version 7, which hold its timestamp in milliseconds. */
const UUID_TIME_BYTES = 6;

/** The issued keys of one process that belong to this host. */
interface IssuedKeys {
  readonly secret: string;
  readonly registry: KeyRegistry;
  readonly generation: number;
}

/** Returns the wall-clock creation time of a UUID of version 7; undefined for other keys. */
function parseUuidTimeMs(key: string): number | undefined {
  if (!isUuid(key) || getUuidVersion(key) !== 7) return undefined;
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
  const { hostId, processId, clock, getLimits } = options;
  const issuer = createKeyIssuer(options);
  const view = createOwnershipView(hostId, clock, getLimits);
  const createRegistry = () => createKeyRegistry(clock, () => getLimits().keyRetentionMs);
  const callerKeys = createRegistry();
  const issuedKeys = new Map<ProcessId, IssuedKeys>([
    [processId, { secret: options.secret, registry: createRegistry(), generation: 0 }],
  ]);
  let isClosed = false;

  const isExpired = (issued: IssuedKey) =>
    !(issued.issuedAt > clock.wallTime() - getLimits().keyRetentionMs);

  function runIssuedKey(
    request: KeyedRequest,
    issued: IssuedKey,
  ): Promise<KeyedOutcome> | undefined {
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

  function findIssuedKeyOwner(issued: IssuedKey): HostId | undefined {
    const successor = options.findSuccessor(issued.processId);
    if (successor !== undefined) return successor;
    const current = options.findProcess(issued.hostId);
    return current === undefined || current === issued.processId ? issued.hostId : undefined;
  }

  function runCallerKey(request: KeyedRequest, createdAtMs: number): Promise<KeyedOutcome> {
    const key = buildScopedKey(request);
    const bodyHash = computeBodyHash(request);
    const mayRun = () => !isClosed && view.findObstacle(key, createdAtMs) === undefined;
    if (callerKeys.hasRecord(key) || mayRun()) {
      return callerKeys.runOnce(key, bodyHash, () => options.execute(request, mayRun));
    }
    const obstacle = isClosed ? 'stopping' : view.findObstacle(key, createdAtMs);
    return Promise.resolve(createUnprovenOutcome(describeObstacle(obstacle ?? 'changed')));
  }

  async function forward(target: HostId, request: KeyedRequest): Promise<KeyedOutcome> {
    const reply = await options.forward(target, request);
    // The key may have been used before, even when this forward was never sent.
    if (reply.isErr())
      return createUnprovenOutcome(`forwarding to ${target} failed: ${reply.error.detail}`);
    const outcome = keyedOutcomeSchema.safeParse(reply.value);
    return outcome.data ?? createUnprovenOutcome(`${target} sent an invalid outcome`);
  }

  function rejectKey(): Promise<KeyedOutcome> {
    const detail = 'the key must be issued by this system or be a UUID of version 7';
    return Promise.resolve({
      kind: 'failure',
      reason: 'bad-request',
      detail,
      execution: 'not-run',
    });
  }

  function runLocally(request: KeyedRequest): Promise<KeyedOutcome> {
    const issued = parseIssuedKey(request.key);
    if (issued !== undefined) {
      const unproven = createUnprovenOutcome('the process that issued the key has ended');
      return runIssuedKey(request, issued) ?? Promise.resolve(unproven);
    }
    const createdAtMs = parseUuidTimeMs(request.key);
    return createdAtMs === undefined ? rejectKey() : runCallerKey(request, createdAtMs);
  }

  function findOwner(request: KeyedRequest): HostId | undefined {
    const issued = parseIssuedKey(request.key);
    if (issued === undefined) {
      return parseUuidTimeMs(request.key) === undefined
        ? hostId
        : view.findOwner(buildScopedKey(request));
    }
    return issuedKeys.has(issued.processId) ? hostId : findIssuedKeyOwner(issued);
  }

  /** Hands each caller-generated key over to the host that owns it once this host has left. */
  function planCallerKeys(hosts: readonly HostId[]): HandoverPlan[] {
    const groups = new Map<HostId, Handover['records']>();
    for (const record of callerKeys.listRecords()) {
      const [nextOwner] = computeRendezvousOrder(record.key, hosts);
      if (nextOwner === undefined) continue;
      groups.set(nextOwner, [...(groups.get(nextOwner) ?? []), record]);
    }
    return [...groups].map(([nextOwner, records]) => ({
      hosts: [nextOwner],
      handover: { records },
    }));
  }

  /** Keeps the issued keys of a process together, so that unused ones remain usable. */
  function planIssuedKeys(hosts: readonly HostId[]): HandoverPlan[] {
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
      const owner = findOwner(request);
      if (owner === undefined) {
        return Promise.resolve(createUnprovenOutcome('the process that issued the key has ended'));
      }
      return owner === hostId ? runLocally(request) : forward(owner, request);
    },
    runForwarded: runLocally,
    view,
    takeOver({ process, records }) {
      if (process === undefined) {
        for (const record of records) callerKeys.addRecord(record);
        return;
      }
      const { secret, generation } = process;
      // A repeated handover must not reset the records of keys used since the first one.
      if (issuedKeys.has(process.processId)) return;
      const registry = createRegistry();
      issuedKeys.set(process.processId, { secret, registry, generation });
      for (const record of records) registry.addRecord(record);
    },
    close(hosts) {
      isClosed = true;
      return [...planIssuedKeys(hosts), ...planCallerKeys(hosts)];
    },
    listTakenOverProcesses: () =>
      [...issuedKeys]
        .filter(([id]) => id !== processId)
        .map(([id, { generation }]) => ({ processId: id, generation })),
    countRecords: () =>
      callerKeys.size() +
      [...issuedKeys.values()].reduce((sum, { registry }) => sum + registry.size(), 0),
  };
}
