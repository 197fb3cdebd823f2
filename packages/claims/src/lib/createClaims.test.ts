import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  createFakeClock,
  createRandom,
  hostIdSchema,
  pipelineIdSchema,
  processIdSchema,
  rankIdSchema,
  readPropertyOptions,
  requestIdSchema,
  workspaceIdSchema,
  type HostId,
  type ProcessId,
} from '@endiveferry/base';
import fc from 'fast-check';
import { err, ok } from 'neverthrow';
import { v7 } from 'uuid';

import type { Claims, KeyedRequest } from './Claims.js';
import { createClaims } from './createClaims.js';
import type { KeyedOutcome } from './KeyedOutcome.js';

const limits = { clockSkewMs: 0, viewValidityMs: 1_000, keyRetentionMs: 100_000 };
const EXECUTION_MS = 20;
const mill = workspaceIdSchema.parse('mill');
const hostIds = ['host-a', 'host-b', 'host-c'].map((id) => hostIdSchema.parse(id));
const [hostA, hostB, hostC] = hostIds as [HostId, HostId, HostId];

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
      if (findHost(hostA).claims.view.findHome(`${mill}\u0000${key}`) === home) return key;
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

const formatVerdict = (outcome: KeyedOutcome) =>
  outcome.kind === 'answer' ? 'answer' : outcome.execution;

async function createStartedWorld() {
  const world = createWorld();
  await world.start();
  return world;
}

test('hazard: the same key twice at once at two hosts', async () => {
  const world = await createStartedWorld();
  for (const key of [world.createKeyOf(hostC), world.findHost(hostC).claims.issueKey(mill)]) {
    const both = [world.submit(hostA, key), world.submit(hostB, key)];
    const outcomes = await Promise.all(both.map((outcome) => world.settle(outcome)));
    assert.deepEqual(outcomes.map(formatVerdict), ['answer', 'answer']);
    assert.equal(world.runs.get(key), 1);
  }
});

test('hazard: a forward whose answer is lost', async () => {
  const world = await createStartedWorld();
  const key = world.findHost(hostB).claims.issueKey(mill);
  world.lostAnswers.add(hostB);
  const first = await world.settle(world.submit(hostA, key));
  world.lostAnswers.clear();
  const second = await world.settle(world.submit(hostA, key));
  assert.deepEqual([formatVerdict(first), formatVerdict(second)], ['may-have-run', 'answer']);
  assert.equal(world.runs.get(key), 1);
});

test('hazard: the home restarted with nothing remembered', async () => {
  const world = await createStartedWorld();
  const issued = world.findHost(hostB).claims.issueKey(mill);
  const madeUp = world.createKeyOf(hostB);
  for (const key of [issued, madeUp]) await world.settle(world.submit(hostA, key));
  world.startHost(hostB);
  world.synchronize(hostB);
  for (const key of [issued, madeUp]) {
    const again = await world.settle(world.submit(hostA, key));
    assert.equal(formatVerdict(again), 'may-have-run');
    assert.equal(world.runs.get(key), 1);
  }
});

test('hazard: the home is paused for longer than any timeout and wakes mid-send', async () => {
  const world = await createStartedWorld();
  const key = world.createKeyOf(hostB);
  let wake: () => void = () => undefined;
  world.findHost(hostB).pause = new Promise((resolve) => (wake = resolve));
  const paused = world.submit(hostB, key);
  await world.clock.advance(100);
  world.publish([hostA, hostC]);
  await world.clock.advance(limits.viewValidityMs * 3);
  for (const id of [hostA, hostC]) world.synchronize(id);
  await world.settle(world.submit(hostA, key));
  wake();
  const outcome = await world.settle(paused);
  assert.equal(formatVerdict(outcome), 'not-run');
  assert.ok((world.runs.get(key) ?? 0) <= 1);
});

test('hazard: two hosts hold different revisions of the list', async () => {
  const world = await createStartedWorld();
  world.publish([hostA, hostC]);
  world.synchronize(hostA);
  const key = world.createKeyOf(hostA);
  const outcomes = [
    await world.settle(world.submit(hostA, key)),
    await world.settle(world.submit(hostB, key)),
    await world.settle(world.submit(hostC, key)),
  ];
  assert.ok((world.runs.get(key) ?? 0) <= 1, outcomes.map(formatVerdict).join());
});

test('hazard: a partition with callers on both sides', async () => {
  const world = await createStartedWorld();
  for (const cut of [
    `${hostA}>${hostB}`,
    `${hostA}>${hostC}`,
    `${hostB}>${hostA}`,
    `${hostC}>${hostA}`,
  ]) {
    world.cuts.add(cut);
  }
  const key = world.findHost(hostB).claims.issueKey(mill);
  const cutOff = await world.settle(world.submit(hostA, key));
  const served = await world.settle(world.submit(hostC, key));
  assert.deepEqual([formatVerdict(cutOff), formatVerdict(served)], ['may-have-run', 'answer']);
  assert.equal(world.runs.get(key), 1);
});

test('hazard: a list that goes A, B, A', async () => {
  const world = await createStartedWorld();
  // Host A misses the list under which host B is the home, and the key is run there.
  const key = world.createKeyOf(hostA);
  world.publish([hostB, hostC]);
  for (const id of [hostB, hostC]) world.synchronize(id);
  await world.clock.advance(limits.viewValidityMs * 2);
  for (const id of [hostB, hostC]) world.synchronize(id);
  const young = world.createKeyOf(hostA);
  for (const each of [key, young]) await world.settle(world.submit(hostB, each));
  world.publish(hostIds);
  for (const id of hostIds) world.synchronize(id);
  for (const each of [key, young]) {
    for (const id of hostIds) await world.settle(world.submit(id, each));
    assert.ok((world.runs.get(each) ?? 0) <= 1);
  }
  assert.equal(world.runs.get(young), 1);
});

test('a host that learns its first list long after its start does not run what another home ran', async () => {
  const world = await createStartedWorld();
  world.startHost(hostC);
  await world.clock.advance(limits.viewValidityMs * 2);
  for (const id of [hostA, hostB]) world.synchronize(id);
  const key = world.createKeyOf(hostA);
  world.publish([hostC]);
  world.synchronize(hostC);
  await world.settle(world.submit(hostA, key));
  const second = await world.settle(world.submit(hostC, key));
  assert.equal(formatVerdict(second), 'may-have-run');
  assert.equal(world.runs.get(key), 1);
});

test('a host that stops hands on its records, and unspent keys can still be used', async () => {
  const world = await createStartedWorld();
  const claims = world.findHost(hostB).claims;
  const [spent, unspent] = [claims.issueKey(mill), claims.issueKey(mill)];
  await world.settle(world.submit(hostA, spent));
  const stopped = world.findHost(hostB).processId;
  for (const { hosts, handOver } of claims.close([hostA])) {
    assert.deepEqual(hosts, [hostA]);
    world.findHost(hostA).claims.takeOver(handOver);
  }
  world.hosts.delete(hostB);
  world.successors.set(stopped, hostA);
  const replay = await world.settle(world.submit(hostC, spent));
  const late = await world.settle(world.submit(hostC, unspent));
  assert.deepEqual([formatVerdict(replay), formatVerdict(late)], ['answer', 'answer']);
  assert.deepEqual([world.runs.get(spent), world.runs.get(unspent)], [1, 1]);
});

test('a hand-over that comes twice does not make a key look unspent', async () => {
  const world = await createStartedWorld();
  const claims = world.findHost(hostB).claims;
  const key = claims.issueKey(mill);
  const stopped = world.findHost(hostB).processId;
  const [plan] = claims.close([hostA]);
  assert.ok(plan !== undefined);
  world.hosts.delete(hostB);
  world.successors.set(stopped, hostA);
  for (let time = 0; time < 2; time += 1) {
    world.findHost(hostA).claims.takeOver(plan.handOver);
    await world.settle(world.submit(hostC, key));
  }
  assert.equal(world.runs.get(key), 1);
});

test('a key of another workspace, and one with another body, are refused', async () => {
  const world = await createStartedWorld();
  const foreign = world.findHost(hostA).claims.issueKey(workspaceIdSchema.parse('other'));
  assert.equal(formatVerdict(await world.settle(world.submit(hostB, foreign))), 'not-run');
  assert.equal(formatVerdict(await world.settle(world.submit(hostB, 'chosen-at-will'))), 'not-run');
});

type Step =
  | { readonly type: 'submit'; readonly host: number; readonly key: number }
  | {
      readonly type: 'issue' | 'make-up' | 'restart' | 'synchronize' | 'pause' | 'wake';
      readonly host: number;
    }
  | { readonly type: 'publish'; readonly hosts: readonly number[] }
  | { readonly type: 'cut' | 'heal'; readonly host: number; readonly to: number }
  | { readonly type: 'lose-answers' | 'keep-answers'; readonly host: number }
  | { readonly type: 'advance'; readonly ms: number };

const hostArbitrary = fc.nat(2);
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      type: fc.constant('submit' as const),
      host: hostArbitrary,
      key: fc.nat(5),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      type: fc.constantFrom('issue' as const, 'make-up' as const, 'synchronize' as const),
      host: hostArbitrary,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constantFrom('restart' as const, 'pause' as const, 'wake' as const),
      host: hostArbitrary,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('publish' as const),
      hosts: fc.subarray([0, 1, 2], { minLength: 1 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constantFrom('cut' as const, 'heal' as const),
      host: hostArbitrary,
      to: hostArbitrary,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constantFrom('lose-answers' as const, 'keep-answers' as const),
      host: hostArbitrary,
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      type: fc.constant('advance' as const),
      ms: fc.constantFrom(5, 30, 400, 1_100, 2_500),
    }),
  },
);

/** Plays a schedule of hazards; the result is what callers were told of each key. */
async function playSchedule(steps: readonly Step[]) {
  const world = await createStartedWorld();
  const keys: string[] = [];
  const told: Promise<{ key: string; outcome: KeyedOutcome; runsThen: number }>[] = [];
  const wakes = new Map<HostId, (() => void)[]>();
  const wakeAll = (id: HostId) => {
    for (const wake of wakes.get(id) ?? []) wake();
  };
  const idOf = (index: number) => hostIds[index] ?? hostA;
  const handlers: {
    [Type in Step['type']]: (step: Extract<Step, { type: Type }>) => void | Promise<void>;
  } = {
    submit({ host, key }) {
      const used = keys.at(-1 - (key % Math.max(1, keys.length)));
      if (used === undefined) return;
      const verdict = world.submit(idOf(host), used).then((outcome) => ({
        key: used,
        outcome,
        runsThen: world.runs.get(used) ?? 0,
      }));
      told.push(verdict);
    },
    issue: ({ host }) => void keys.push(world.findHost(idOf(host)).claims.issueKey(mill)),
    'make-up': () => void keys.push(world.createKey()),
    restart: ({ host }) => void world.startHost(idOf(host)),
    synchronize: ({ host }) => world.synchronize(idOf(host)),
    pause({ host }) {
      const target = world.findHost(idOf(host));
      target.pause ??= new Promise((resolve) => {
        // A paused process may wake after another one has taken its place.
        wakes.set(idOf(host), [...(wakes.get(idOf(host)) ?? []), resolve]);
      });
    },
    wake({ host }) {
      wakeAll(idOf(host));
      world.findHost(idOf(host)).pause = undefined;
    },
    publish: ({ hosts }) => world.publish(hosts.map(idOf)),
    cut: ({ host, to }) => void world.cuts.add(`${idOf(host)}>${idOf(to)}`),
    heal: ({ host, to }) => void world.cuts.delete(`${idOf(host)}>${idOf(to)}`),
    'lose-answers': ({ host }) => void world.lostAnswers.add(idOf(host)),
    'keep-answers': ({ host }) => void world.lostAnswers.delete(idOf(host)),
    advance: ({ ms }) => world.clock.advance(ms),
  };
  for (const step of steps)
    await (handlers[step.type] as (step: Step) => void | Promise<void>)(step);
  for (const id of hostIds) wakeAll(id);
  await world.clock.advance(limits.viewValidityMs);
  return { world, outcomes: await Promise.all(told) };
}

test('property: no schedule of hazards runs a key twice, or calls one not run that ran', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(stepArbitrary, { minLength: 10, maxLength: 60 }), async (steps) => {
      const { world, outcomes } = await playSchedule(steps);
      for (const count of world.runs.values()) assert.equal(count, 1);
      for (const { outcome, runsThen } of outcomes) {
        if (outcome.kind === 'answer') assert.equal(runsThen, 1);
        else if (outcome.execution === 'not-run') assert.equal(runsThen, 0);
      }
    }),
    readPropertyOptions(8, 150),
  );
});
