import assert from 'node:assert/strict';
import { test } from 'node:test';

import { readPropertyOptions } from '@endiveferry/base';
import { setLogWriter } from '@endiveferry/telemetry';
import fc from 'fast-check';

import { behaviours, createStageWorld, wholeText } from './createStageWorld.js';

setLogWriter(() => undefined);

const scriptArbitrary = fc.array(fc.constantFrom(...behaviours), { maxLength: 6 });

test('property: a call that may not be repeated starts at most once, and not-run is true', async () => {
  await fc.assert(
    fc.asyncProperty(scriptArbitrary, async (script) => {
      const world = createStageWorld({ kind: 'plain-service', isIdempotent: false, script });
      const result = await world.run();
      assert.ok(world.counts.started <= 1);
      if (result.isOk()) assert.deepEqual(result.value.output, { mine: 'r1.stage' });
      else if (result.error.execution === 'not-run') assert.equal(world.counts.started, 0);
      else assert.equal(world.counts.started, 1);
      assert.equal(world.countOpenLeases(), 0);
    }),
    readPropertyOptions(31, 200),
  );
});

test('property: a repeatable stage gives its own result once, within the retry budget', async () => {
  await fc.assert(
    fc.asyncProperty(scriptArbitrary, async (script) => {
      const world = createStageWorld({ kind: 'plain-service', script });
      const result = await world.run();
      if (result.isOk()) assert.deepEqual(result.value.output, { mine: 'r1.stage' });
      else if (result.error.execution === 'not-run') assert.equal(world.counts.started, 0);
      const { firstTries, retries } = world.retryBudget.counts();
      assert.ok(world.counts.sent <= firstTries + retries);
      assert.deepEqual([world.pool.queue.running(), world.countOpenLeases()], [0, 0]);
    }),
    readPropertyOptions(32, 200),
  );
});

test('property: no token of a stream is lost, doubled or another request’s', async () => {
  await fc.assert(
    fc.asyncProperty(scriptArbitrary, async (script) => {
      const world = createStageWorld({ kind: 'model-engine', script });
      const result = await world.run();
      const told = world.told.join('');
      assert.equal(told, wholeText.slice(0, told.length));
      if (result.isOk())
        assert.deepEqual([result.value.output, told], [{ text: wholeText }, wholeText]);
    }),
    readPropertyOptions(33, 200),
  );
});

test('without budget a failed try is the last one', async () => {
  const world = createStageWorld({ kind: 'plain-service', script: ['fail', 'answer'] });
  while (world.retryBudget.tryWithdraw());
  const result = await world.run();
  assert.ok(result.isErr());
  assert.equal(world.counts.started, 1);
});

test('a call that may not be repeated is not written after its deadline, as after a pause', async () => {
  const world = createStageWorld({
    kind: 'plain-service',
    isIdempotent: false,
    script: ['asks-first'],
  });
  const result = await world.run();
  assert.equal(result.isErr() && result.error.execution, 'not-run');
  assert.equal(world.counts.started, 0);
});

test('a slow call is hedged, and the first good answer is taken', async () => {
  const world = createStageWorld({ kind: 'plain-service', script: ['late', 'answer'] });
  const result = await world.run();
  assert.ok(result.isOk());
  assert.equal(world.counts.started, 2);
  assert.equal(world.countOpenLeases(), 0);
});
