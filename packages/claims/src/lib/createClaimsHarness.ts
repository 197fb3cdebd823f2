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

/** Limits used by the harness. @internal */
export const limits = { clockSkewMs: 0, viewValidityMs: 1_000, keyRetentionMs: 100_000 };
const EXECUTION_MS = 20;
/** Workspace of all submitted requests. @internal */
export const testWorkspaceId = workspaceIdSchema.parse('mill');
/** Hosts of the harness. @internal */
export const hostIds = ['host-a', 'host-b', 'host-c'].map((id) => hostIdSchema.parse(id));
/** The hosts by name. @internal */
export const [hostA, hostB, hostC] = hostIds as [HostId, HostId, HostId];

interface Host {
  claims: Claims;
  processId: ProcessId;
  /** While set, delays execution right before its last check. */
  pause: Promise<void> | undefined;
}

/** Simulates hosts, the network between them, and a backend server that counts its requests. */
function createHarness() {
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
      getLimits: () => limits,
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

  const getHost = (id: HostId) => {
    const host = hosts.get(id);
    if (host === undefined) throw new Error(`${id} is not running`);
    return host;
  };
  /** Applies the published list at a host, as after a response of the platform. */
  function synchronize(id: HostId): void {
    const { view } = getHost(id).claims;
    view.setHosts(list, revision);
    view.confirm(clock.wallTime());
  }
  function publish(next: readonly HostId[]): void {
    list = next;
    revision += 1;
  }
  function submit(id: HostId, key: string): Promise<KeyedOutcome> {
    return getHost(id).claims.run({
      requestId: requestIdSchema.parse('r1'),
      workspaceId: testWorkspaceId,
      pipelineId: pipelineIdSchema.parse('booking'),
      rankId: rankIdSchema.parse('urgent'),
      key,
      remainingMs: 1_000,
      body: { frame: 1 },
    });
  }
  /** Advances the clock until a submitted request has ended. */
  async function settle(outcome: Promise<KeyedOutcome>): Promise<KeyedOutcome> {
    await clock.advance(EXECUTION_MS * 4);
    return outcome;
  }
  const generateBytes = () => Uint8Array.from({ length: 16 }, () => random.nextInteger(256));
  const createKey = () => v7({ msecs: clock.wallTime(), random: generateBytes(), seq: 0 });
  /** Creates a new caller-generated key that a host owns. */
  function createKeyOwnedBy(owner: HostId): string {
    for (;;) {
      const key = createKey();
      if (getHost(hostA).claims.view.findOwner(`${testWorkspaceId}\u0000${key}`) === owner)
        return key;
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
    getHost,
    startHost,
    synchronize,
    publish,
    submit,
    settle,
    createKey,
    createKeyOwnedBy,
    start,
  };
}

/** Formats an outcome as `answer` or the verdict of its failure. @internal */
export const formatVerdict = (outcome: KeyedOutcome) =>
  outcome.kind === 'answer' ? 'answer' : outcome.execution;

/** Creates a harness whose hosts all have a confirmed list. @internal */
export async function createStartedHarness() {
  const harness = createHarness();
  await harness.start();
  return harness;
}
