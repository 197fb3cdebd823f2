import assert from 'node:assert/strict';
import { test } from 'node:test';

import { readPropertyOptions, type HostId } from '@endiveferry/base';
import fc from 'fast-check';

import type { KeyedOutcome } from './KeyedOutcome.js';
import { createStartedWorld, hostA, hostIds, limits, mill } from './createClaimsHarness.js';

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
