import {
  createFakeClock,
  createRandom,
  hostIdSchema,
  pipelineIdSchema,
  processIdSchema,
  rankIdSchema,
  requestIdSchema,
  workspaceIdSchema,
  type HostId,
  type ProcessId,
} from '@endiveferry/base';
import { err, ok } from 'neverthrow';
import { v7 } from 'uuid';

import type { Claims, KeyedRequest } from './Claims.js';
import { createClaims } from './createClaims.js';
import type { KeyedOutcome } from './KeyedOutcome.js';

/** The limits of every world here. @internal */
export const limits = { clockSkewMs: 0, viewValidityMs: 1_000, keyRetentionMs: 100_000 };
const EXECUTION_MS = 20;
/** The only workspace. @internal */
export const mill = workspaceIdSchema.parse('mill');
/** The hosts of every world here. @internal */
export const hostIds = ['host-a', 'host-b', 'host-c'].map((id) => hostIdSchema.parse(id));
/** The same, by name. @internal */
export const [hostA, hostB, hostC] = hostIds as [HostId, HostId, HostId];

interface Host {
  claims: Claims;
  processId: ProcessId;
  /** Work stands still before its last check while this is set. */
  pause: Promise<void> | undefined;
}

/** Hosts, the network between them, and the backend that counts what it was sent. */
function createWorld() {
  const clock = createFakeClock();
  const random = createRandom(1);
  const hosts = new Map<HostId, Host>();
  const runs = new Map<string, number>();
  const cuts = new Set<string>();
  const lostAnswers = new Set<HostId>();
  const successors = new Map<ProcessId, HostId>();
  let list: readonly HostId[] = hostIds;
  let revision = 1;
  let nextProcess = 1;

  async function execute(
    host: Host,
    request: KeyedRequest,
    mayRun: () => boolean,
  ): Promise<KeyedOutcome> {
    await new Promise<void>((resolve) => clock.schedule(EXECUTION_MS, resolve));
    await host.pause;
    if (!mayRun()) {
      const detail = 'may no longer run';
      return { kind: 'failure', reason: 'key-unproven', detail, execution: 'not-run' };
    }
    runs.set(request.key, (runs.get(request.key) ?? 0) + 1);
    return { kind: 'answer', output: request.requestId, tokens: 0, isReplay: false };
  }

  function startHost(hostId: HostId): Host {
    const processId = processIdSchema.parse(`p${nextProcess}`);
    nextProcess += 1;
    const host = { processId, pause: undefined } as unknown as Host;
    host.claims = createClaims({
      hostId,
      processId,
      secret: `secret-${processId}`,
      clock,
      findLimits: () => limits,
      findProcess: (id) => hosts.get(id)?.processId,
      findSuccessor: (id) => successors.get(id),
      async forward(target, request) {
        if (cuts.has(`${hostId}>${target}`)) return err({ kind: 'not-sent', detail: 'cut' });
        const reply = await hosts.get(target)?.claims.runForwarded(request);
        if (lostAnswers.has(target)) return err({ kind: 'unknown', detail: 'lost' });
        return reply === undefined ? err({ kind: 'not-sent', detail: 'down' }) : ok(reply);
      },
      execute: (request, mayRun) => execute(host, request, mayRun),
    });
    hosts.set(hostId, host);
    return host;
  }

  const findHost = (id: HostId) => {
    const host = hosts.get(id);
    if (host === undefined) throw new Error(`${id} is not running`);
    return host;
  };
  /** What a host does when the platform answers it: the list, and as of when. */
  function synchronize(id: HostId): void {
    const { view } = findHost(id).claims;
    view.setHosts(list, revision);
    view.confirm(clock.wallTime());
  }
  function publish(next: readonly HostId[]): void {
    list = next;
    revision += 1;
  }
  function submit(id: HostId, key: string): Promise<KeyedOutcome> {
    return findHost(id).claims.run({
      requestId: requestIdSchema.parse('r1'),
      workspaceId: mill,
      pipelineId: pipelineIdSchema.parse('booking'),
      rankId: rankIdSchema.parse('urgent'),
      key,
      remainingMs: 1_000,
      body: { frame: 1 },
    });
  }
  /** Lets what was submitted come to its end. */
  async function settle(outcome: Promise<KeyedOutcome>): Promise<KeyedOutcome> {
    await clock.advance(EXECUTION_MS * 4);
    return outcome;
  }
  const drawBytes = () => Uint8Array.from({ length: 16 }, () => random.nextInteger(256));
  const createKey = () => v7({ msecs: clock.wallTime(), random: drawBytes(), seq: 0 });
  /** A made-up key that is proven to be new, and whose home is the host. */
  function createKeyOf(home: HostId): string {
    for (;;) {
      const key = createKey();
      if (findHost(hostA).claims.view.findOwner(`${mill}\u0000${key}`) === home) return key;
    }
  }
  async function start(): Promise<void> {
    for (const id of hostIds) startHost(id);
    for (const id of hostIds) synchronize(id);
    await clock.advance(limits.viewValidityMs + 1);
    for (const id of hostIds) synchronize(id);
  }
  return {
    clock,
    runs,
    cuts,
    lostAnswers,
    successors,
    hosts,
    findHost,
    startHost,
    synchronize,
    publish,
    submit,
    settle,
    createKey,
    createKeyOf,
    start,
  };
}

/** What an outcome claims, in a word. @internal */
export const formatVerdict = (outcome: KeyedOutcome) =>
  outcome.kind === 'answer' ? 'answer' : outcome.execution;

/** A world whose hosts all have a confirmed list. @internal */
export async function createStartedWorld() {
  const world = createWorld();
  await world.start();
  return world;
}
