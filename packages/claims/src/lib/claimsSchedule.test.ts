import assert from 'node:assert/strict';
import { test } from 'node:test';

import { readPropertyOptions, type HostId } from '@endiveferry/base';
import fc from 'fast-check';

import type { KeyedOutcome } from './KeyedOutcome.js';
import {
  createStartedHarness,
  hostA,
  hostIds,
  limits,
  testWorkspaceId,
} from './createClaimsHarness.js';

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

/** Runs a schedule of requests and failures; returns the outcomes that callers received. */
async function runSchedule(steps: readonly Step[]) {
  const harness = await createStartedHarness();
  const keys: string[] = [];
  const submissions: Promise<{ key: string; outcome: KeyedOutcome; runCount: number }>[] = [];
  const resumeCallbacks = new Map<HostId, (() => void)[]>();
  const resumeAll = (id: HostId) => {
    for (const resume of resumeCallbacks.get(id) ?? []) resume();
  };
  const getHostId = (index: number) => hostIds[index] ?? hostA;
  const handlers: {
    [Type in Step['type']]: (step: Extract<Step, { type: Type }>) => void | Promise<void>;
  } = {
    submit({ host, key }) {
      const used = keys.at(-1 - (key % Math.max(1, keys.length)));
      if (used === undefined) return;
      const submission = harness.submit(getHostId(host), used).then((outcome) => ({
        key: used,
        outcome,
        runCount: harness.runs.get(used) ?? 0,
      }));
      submissions.push(submission);
    },
    issue: ({ host }) =>
      void keys.push(harness.getHost(getHostId(host)).claims.issueKey(testWorkspaceId)),
    'make-up': () => void keys.push(harness.createKey()),
    restart: ({ host }) => void harness.startHost(getHostId(host)),
    synchronize: ({ host }) => harness.synchronize(getHostId(host)),
    pause({ host }) {
      const target = harness.getHost(getHostId(host));
      target.pause ??= new Promise((resolve) => {
        // A paused process may resume after another one has replaced it.
        resumeCallbacks.set(getHostId(host), [
          ...(resumeCallbacks.get(getHostId(host)) ?? []),
          resolve,
        ]);
      });
    },
    wake({ host }) {
      resumeAll(getHostId(host));
      harness.getHost(getHostId(host)).pause = undefined;
    },
    publish: ({ hosts }) => harness.publish(hosts.map(getHostId)),
    cut: ({ host, to }) => void harness.cuts.add(`${getHostId(host)}>${getHostId(to)}`),
    heal: ({ host, to }) => void harness.cuts.delete(`${getHostId(host)}>${getHostId(to)}`),
    'lose-answers': ({ host }) => void harness.lostAnswers.add(getHostId(host)),
    'keep-answers': ({ host }) => void harness.lostAnswers.delete(getHostId(host)),
    advance: ({ ms }) => harness.clock.advance(ms),
  };
  for (const step of steps)
    await (handlers[step.type] as (step: Step) => void | Promise<void>)(step);
  for (const id of hostIds) resumeAll(id);
  await harness.clock.advance(limits.viewValidityMs);
  return { harness, outcomes: await Promise.all(submissions) };
}

test('property: no schedule of failures runs a key twice or reports not-run for a key that ran', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(stepArbitrary, { minLength: 10, maxLength: 60 }), async (steps) => {
      const { harness, outcomes } = await runSchedule(steps);
      for (const count of harness.runs.values()) assert.equal(count, 1);
      for (const { outcome, runCount } of outcomes) {
        if (outcome.kind === 'answer') assert.equal(runCount, 1);
        else if (outcome.execution === 'not-run') assert.equal(runCount, 0);
      }
    }),
    readPropertyOptions(8, 150),
  );
});
