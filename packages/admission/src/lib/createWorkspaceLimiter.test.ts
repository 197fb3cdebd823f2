import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createFakeClock, hostIdSchema, workspaceIdSchema } from '@endiveferry/base';

import { createFleetDemand } from './createFleetDemand.js';
import { createWorkspaceLimiter } from './createWorkspaceLimiter.js';

const testWorkspaceId = workspaceIdSchema.parse('mill');
const host = (index: number) => hostIdSchema.parse(`host-${index}`);

/** Creates limiters of several hosts that exchange their offered rates, as heartbeats do. */
function createHosts(count: number, requestsPerSecond: number) {
  const clock = createFakeClock();
  const hosts = Array.from({ length: count }, (_value, index) => {
    const demand = createFleetDemand(clock);
    const limiter = createWorkspaceLimiter({
      clock,
      getLimits: () => ({ requestsPerSecond }),
      getHostShare: (id) => demand.computeHostShare(host(index), id),
    });
    return { demand, limiter, isDead: false };
  });
  function exchange(): void {
    for (const [index, from] of hosts.entries()) {
      if (from.isDead) continue;
      const rate = from.limiter.getOfferedRate(testWorkspaceId);
      const report = { pools: [], workspaces: [{ workspaceId: testWorkspaceId, rate }] };
      for (const to of hosts) to.demand.recordDemand(host(index), report);
    }
  }
  return { clock, hosts, exchange };
}

/** Offers 100 requests per second, split between hosts by `shares`; returns the number admitted. */
async function offer(harness: ReturnType<typeof createHosts>, shares: number[], seconds: number) {
  let admitted = 0;
  for (let step = 0; step < seconds * 100; step += 1) {
    await harness.clock.advance(10);
    if (step % 50 === 0) harness.exchange();
    const point = ((step * 37) % 100) / 100;
    let sum = 0;
    const index = shares.findIndex((share) => (sum += share) > point);
    const target = harness.hosts[index];
    const result = target?.limiter.admit(testWorkspaceId);
    if (result?.isOk() === true) {
      admitted += 1;
      result.value();
    }
  }
  return admitted;
}

test('a fleet-wide rate is met under uneven balancing, where equal shares would fall short', async () => {
  const harness = createHosts(4, 40);
  await offer(harness, [0.7, 0.2, 0.1, 0], 5);
  const admitted = await offer(harness, [0.7, 0.2, 0.1, 0], 10);
  assert.ok(admitted > 0.9 * 400 && admitted < 1.1 * 400, `${admitted} of 400`);
});

test('the share of a dead host is redistributed to the live hosts', async () => {
  const harness = createHosts(3, 40);
  await offer(harness, [0.4, 0.3, 0.3], 5);
  const dead = harness.hosts[0];
  assert.ok(dead !== undefined);
  dead.isDead = true;
  await offer(harness, [0, 0.5, 0.5], 5);
  const admitted = await offer(harness, [0, 0.5, 0.5], 10);
  assert.ok(admitted > 0.9 * 400 && admitted < 1.1 * 400, `${admitted} of 400`);
});
