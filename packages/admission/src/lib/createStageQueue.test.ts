import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  createFakeClock,
  rankIdSchema,
  readPropertyOptions,
  workspaceIdSchema,
  type FakeClock,
  type RankId,
  type WorkspaceId,
} from '@endiveferry/base';
import fc from 'fast-check';

import { createStageQueue, type RankPolicy, type StageQueue } from './createStageQueue.js';

const SERVICE_MS = 100;
const rank = (id: string) => rankIdSchema.parse(id);
const workspace = (id: string) => workspaceIdSchema.parse(id);
const ranks: readonly RankPolicy[] = [
  { id: rank('urgent'), order: 0, floorShare: 0.3 },
  { id: rank('standard'), order: 1, floorShare: 0.2 },
  { id: rank('batch'), order: 2, floorShare: 0.1 },
];

function createHarness(
  options: { budget?: number; maxWaiting?: number; weights?: Record<string, number> } = {},
) {
  const clock = createFakeClock();
  const queue = createStageQueue({
    clock,
    listRanks: () => ranks,
    getWeight: (id) => options.weights?.[id] ?? 1,
    getMaxWaiting: () => options.maxWaiting ?? 10_000,
    getBudget: () => options.budget ?? 4,
  });
  return { clock, queue };
}

interface Offer {
  readonly rankId: RankId;
  readonly workspaceId: WorkspaceId;
  /** Calls per second. */
  readonly rate: number;
  readonly deadlineMs?: number;
}

/** Offers calls at constant rates; returns the number served by rank and workspace. */
async function offerSteadily(
  { clock, queue }: { clock: FakeClock; queue: StageQueue },
  offers: readonly Offer[],
  durationMs: number,
): Promise<Map<string, number>> {
  const served = new Map<string, number>();
  for (const { rankId, workspaceId, rate, deadlineMs = 1_000 } of offers) {
    const gapMs = 1_000 / rate;
    const send = () => {
      const latestStartAt = clock.now() + deadlineMs;
      const request = { rankId, workspaceId, costMs: SERVICE_MS, latestStartAt };
      void queue.acquire(request).then((slot) => {
        if (slot.isErr()) return;
        const key = `${rankId} ${workspaceId}`;
        served.set(key, (served.get(key) ?? 0) + 1);
        clock.schedule(SERVICE_MS, () => slot.value.release(SERVICE_MS));
      });
      if (clock.now() < durationMs) clock.schedule(gapMs, send);
    };
    clock.schedule(gapMs, send);
  }
  await clock.advance(durationMs);
  return served;
}

test('overload by the most urgent rank leaves every other rank its floor', async () => {
  const harness = createHarness();
  const mill = workspace('mill');
  const served = await offerSteadily(
    harness,
    [
      { rankId: rank('urgent'), workspaceId: mill, rate: 200 },
      { rankId: rank('standard'), workspaceId: mill, rate: 20 },
      { rankId: rank('batch'), workspaceId: mill, rate: 20 },
    ],
    20_000,
  );
  // Four slots serve 800 calls of 100 ms in 20 s.
  assert.ok((served.get('standard mill') ?? 0) >= 0.95 * 0.2 * 800);
  assert.ok((served.get('batch mill') ?? 0) >= 0.95 * 0.1 * 800);
  assert.ok((served.get('urgent mill') ?? 0) >= 0.95 * 0.6 * 800);
});

test('unused floors are available to other ranks', async () => {
  const harness = createHarness();
  const mill = workspace('mill');
  const served = await offerSteadily(
    harness,
    [{ rankId: rank('batch'), workspaceId: mill, rate: 100 }],
    10_000,
  );
  assert.ok((served.get('batch mill') ?? 0) >= 0.97 * 400);
});

test('a workspace offering 20 times its share does not affect one within its share', async () => {
  const harness = createHarness();
  const served = await offerSteadily(
    harness,
    [
      { rankId: rank('standard'), workspaceId: workspace('large'), rate: 400 },
      { rankId: rank('standard'), workspaceId: workspace('small'), rate: 19 },
    ],
    20_000,
  );
  assert.ok((served.get('standard small') ?? 0) >= 0.98 * 19 * 20);
});

// Guards against starvation of the lighter workspace by calls that expire in its queue.
test('service is proportional to weights although calls expire in the queue', async () => {
  const harness = createHarness({ weights: { a: 3, b: 1 } });
  const served = await offerSteadily(
    harness,
    [
      { rankId: rank('standard'), workspaceId: workspace('a'), rate: 200 },
      { rankId: rank('standard'), workspaceId: workspace('b'), rate: 200 },
    ],
    10_000,
  );
  const ratio = (served.get('standard a') ?? 0) / (served.get('standard b') ?? 1);
  assert.ok(ratio > 2.8 && ratio < 3.2, `ratio ${ratio}`);
});

test('a call that waits past its latest start is rejected and never started', async () => {
  const { clock, queue } = createHarness({ budget: 1 });
  const call = { rankId: rank('urgent'), workspaceId: workspace('mill'), costMs: SERVICE_MS };
  const first = await queue.acquire({ ...call, latestStartAt: 50 });
  const second = queue.acquire({ ...call, latestStartAt: 50 });
  await clock.advance(60);
  if (first.isOk()) first.value.release(60);
  const rejected = await second;
  assert.ok(rejected.isErr());
  assert.deepEqual(
    [rejected.error.reason, rejected.error.execution],
    ['deadline-exceeded', 'not-run'],
  );
});

test('a full queue rejects the least urgent calls of the workspace most over its share', async () => {
  const { queue } = createHarness({ budget: 1, maxWaiting: 2 });
  const rejected: string[] = [];
  const send = (rankId: string, workspaceId: string) =>
    void queue
      .acquire({
        rankId: rank(rankId),
        workspaceId: workspace(workspaceId),
        costMs: SERVICE_MS,
        latestStartAt: 1_000,
      })
      .then((slot) => {
        if (slot.isErr()) rejected.push(`${rankId} ${workspaceId}`);
      });
  send('urgent', 'running');
  send('batch', 'greedy');
  send('batch', 'greedy');
  send('batch', 'modest');
  send('urgent', 'modest');
  await new Promise((resolve) => setImmediate(resolve));
  assert.deepEqual(rejected, ['batch greedy', 'batch greedy']);
});

test('property: every call settles exactly once and the budget is never exceeded', async () => {
  const eventArbitrary = fc.record({
    gapMs: fc.nat(60),
    rankId: fc.constantFrom('urgent', 'standard', 'batch'),
    workspaceId: fc.constantFrom('a', 'b', 'c'),
    serviceMs: fc.integer({ min: 1, max: 300 }),
    deadlineMs: fc.integer({ min: 0, max: 500 }),
    abortAfterMs: fc.option(fc.nat(400), { nil: undefined }),
  });
  await fc.assert(
    fc.asyncProperty(
      fc.array(eventArbitrary, { minLength: 1, maxLength: 40 }),
      fc.integer({ min: 1, max: 4 }),
      fc.integer({ min: 0, max: 10 }),
      async (events, budget, maxWaiting) => {
        const { clock, queue } = createHarness({ budget, maxWaiting });
        let settled = 0;
        let running = 0;
        for (const event of events) {
          await clock.advance(event.gapMs);
          const abort = new AbortController();
          if (event.abortAfterMs !== undefined) {
            clock.schedule(event.abortAfterMs, () => abort.abort());
          }
          void queue
            .acquire({
              rankId: rank(event.rankId),
              workspaceId: workspace(event.workspaceId),
              costMs: 100,
              latestStartAt: clock.now() + event.deadlineMs,
              signal: abort.signal,
            })
            .then((slot) => {
              settled += 1;
              if (slot.isErr()) return;
              running += 1;
              assert.ok(running <= budget);
              clock.schedule(event.serviceMs, () => {
                running -= 1;
                slot.value.release(event.serviceMs);
                slot.value.release(event.serviceMs);
              });
            });
          assert.ok(queue.waiting() <= maxWaiting);
        }
        await clock.advance(20_000);
        assert.equal(settled, events.length);
        assert.deepEqual([queue.running(), queue.waiting()], [0, 0]);
      },
    ),
    readPropertyOptions(4, 60),
  );
});
