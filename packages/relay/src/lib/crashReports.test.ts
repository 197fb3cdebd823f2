import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  availabilityZoneIdSchema,
  backendServerIdSchema,
  createFakeClock,
  createRandom,
  hostIdSchema,
  readPropertyOptions,
  type BackendServerId,
  type HostId,
} from '@endiveferry/base';
import { choosePeers, isFullyLinked } from '@endiveferry/peers';
import { createCrashTracker, type CrashTracker } from '@endiveferry/routing';
import { createLogger, setLogWriter } from '@endiveferry/telemetry';
import fc from 'fast-check';

setLogWriter(() => undefined);

const DURATION_MS = 40_000;
/** Time within which all hosts know what one of them learned, in milliseconds. */
const CONTACT_MS = 3_000;
/** The same in fleets that are not fully linked. */
const LARGE_CONTACT_MS = 4_000;
const CRASHES_UNTIL_KNOWN = 5;
const MAX_LATER_ARRIVALS = 3;
const ENGINE_DOWN_MS = 2_500;
const CRASHING_PART = 'dead';
const SOUND_PARTS = Array.from({ length: 12 }, (_, index) => `sound-${index}`);

interface SimulatedHost {
  tracker: CrashTracker;
  startedAt: number;
}

interface Load {
  readonly hosts: number;
  readonly engines: number;
  readonly soundPerSecond: number;
  readonly crashingPerSecond: number;
  /** Engines that crash for other reasons, per second. */
  readonly otherCrashesPerSecond: number;
  readonly restartsPerSecond: number;
  /** Share of heartbeat exchanges that are lost. */
  readonly lossShare: number;
  readonly seed: number;
}

/** Replays a load on hosts that exchange heartbeats, with a simulated clock. */
async function replay(load: Load) {
  const clock = createFakeClock();
  const random = createRandom(load.seed);
  const zone = availabilityZoneIdSchema.parse('zone');
  const ids = Array.from({ length: load.hosts }, (_, index) =>
    hostIdSchema.parse(`10.0.0.${index}`),
  );
  const zones = new Map(ids.map((id) => [id, zone]));
  const hosts = new Map<HostId, SimulatedHost>();
  const engines = new Map<number, { id: BackendServerId; upAt: number; isHit: boolean }>();
  const intervalMs = isFullyLinked(load.hosts) ? 400 : 1_000;
  const contactMs = isFullyLinked(load.hosts) ? CONTACT_MS : LARGE_CONTACT_MS;
  const peers = new Map(ids.map((id) => [id, choosePeers(id, zones)]));
  let starts = 0;
  let crashes = 0;
  let fifthCrashAt = Infinity;
  let lateArrivals = 0;
  let rejectedSound = 0;
  let sentSound = 0;

  const pickHost = () => hosts.get(ids[random.nextInteger(ids.length)] ?? assert.fail('no host'));
  const delay = () => 3 + random.nextFraction() * 40;

  function startHost(id: HostId): void {
    let isAnnouncing = false;
    const tracker = createCrashTracker({
      clock,
      logger: createLogger(id, 'error'),
      onChange() {
        if (isAnnouncing) return;
        isAnnouncing = true;
        clock.schedule(100, () => {
          isAnnouncing = false;
          for (const peer of peers.get(id) ?? []) exchange(id, peer);
        });
      },
    });
    hosts.set(id, { tracker, startedAt: clock.now() });
  }

  /** Sends the reports of one host to another, which replies with its own. */
  function exchange(from: HostId, to: HostId): void {
    if (random.nextFraction() < load.lossShare) return;
    const sent = hosts.get(from)?.tracker.listReports() ?? [];
    clock.schedule(delay(), () => {
      const receiver = hosts.get(to)?.tracker;
      receiver?.applyReports(sent, from);
      const reply = receiver?.listReports() ?? [];
      clock.schedule(delay(), () => hosts.get(from)?.tracker.applyReports(reply, to));
    });
  }

  function startEngine(slot: number): void {
    starts += 1;
    const id = backendServerIdSchema.parse(`engine-${starts}`);
    engines.set(slot, { id, upAt: clock.now(), isHit: false });
  }

  function crashEngine(slot: number): void {
    const engine = engines.get(slot);
    if (engine === undefined) return;
    engine.isHit = true;
    engines.delete(slot);
    clock.schedule(ENGINE_DOWN_MS, () => startEngine(slot));
  }

  const pickSlot = () => [...engines.keys()][random.nextInteger(Math.max(1, engines.size))];

  function sendCrashing(): void {
    const host = pickHost();
    const parts = ['shared', CRASHING_PART];
    const slot = pickSlot();
    if (host === undefined || slot === undefined) return;
    if (host.tracker.findBlockedPart(parts) !== undefined) return;
    const isInTouch = clock.now() - host.startedAt >= contactMs;
    if (clock.now() > fifthCrashAt + contactMs && isInTouch) lateArrivals += 1;
    const engine = engines.get(slot);
    clock.schedule(30 + random.nextFraction() * 100, () => {
      const isUp = engine !== undefined && engines.get(slot) === engine;
      if (isUp) {
        crashes += 1;
        if (crashes === CRASHES_UNTIL_KNOWN) fifthCrashAt = clock.now();
        crashEngine(slot);
      }
      if (engine !== undefined) host.tracker.recordCrash(engine.id, parts);
    });
  }

  function sendSound(): void {
    const host = pickHost();
    const parts = ['shared', SOUND_PARTS[random.nextInteger(SOUND_PARTS.length)] ?? ''];
    const slot = pickSlot();
    if (host === undefined || slot === undefined) return;
    sentSound += 1;
    if (host.tracker.findBlockedPart(parts) !== undefined) {
      rejectedSound += 1;
      return;
    }
    const engine = engines.get(slot);
    clock.schedule(60 + random.nextFraction() * 400, () => {
      if (engine === undefined) return;
      if (engine.isHit) host.tracker.recordCrash(engine.id, parts);
      else host.tracker.recordAnswer(parts);
    });
  }

  function repeat(perSecond: number, run: () => void): void {
    if (perSecond <= 0) return;
    const next = () => {
      run();
      clock.schedule((random.nextFraction() * 2_000) / perSecond, next);
    };
    clock.schedule((random.nextFraction() * 2_000) / perSecond, next);
  }

  for (const id of ids) startHost(id);
  for (let slot = 0; slot < load.engines; slot += 1) startEngine(slot);
  for (const id of ids) {
    for (const peer of peers.get(id) ?? []) repeat(1_000 / intervalMs, () => exchange(id, peer));
  }
  repeat(load.soundPerSecond, sendSound);
  await clock.advance(5_000);
  repeat(load.crashingPerSecond, sendCrashing);
  repeat(load.otherCrashesPerSecond, () => crashEngine(pickSlot() ?? 0));
  repeat(load.restartsPerSecond, () =>
    startHost(ids[random.nextInteger(ids.length)] ?? ('none' as HostId)),
  );
  await clock.advance(DURATION_MS);
  const blocked = [...hosts.values()].filter(({ tracker }) => tracker.countBlocked() > 0).length;
  return { crashes, lateArrivals, rejectedSound, sentSound, blocked };
}

const baseLoad: Omit<Load, 'hosts' | 'engines' | 'seed'> = {
  soundPerSecond: 20,
  crashingPerSecond: 3,
  otherCrashesPerSecond: 0,
  restartsPerSecond: 0,
  lossShare: 0.1,
};

const sizes = [
  { hosts: 6, engines: 6 },
  { hosts: 20, engines: 14 },
  { hosts: 70, engines: 40 },
];

for (const { hosts, engines } of sizes) {
  test(`property: ${hosts} hosts stop sending a part that crashes engines`, () =>
    fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 1_000_000 }),
        fc.constantFrom(0.7, 3, 8),
        fc.constantFrom(0, 0.1, 0.5),
        async (seed, crashingPerSecond, restartsPerSecond) => {
          const load = { ...baseLoad, hosts, engines, seed, crashingPerSecond, restartsPerSecond };
          const result = await replay({ ...load, soundPerSecond: 3 * hosts });
          assert.ok(result.crashes >= 3);
          assert.ok(result.lateArrivals <= MAX_LATER_ARRIVALS, JSON.stringify(result));
          assert.equal(result.rejectedSound, 0, JSON.stringify(result));
        },
      ),
      readPropertyOptions(21, hosts > 20 ? 3 : 12),
    ));
}

test('property: engines that crash for other reasons block no part', () =>
  fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.constantFrom(0.5, 2),
      async (seed, otherCrashesPerSecond) => {
        const result = await replay({
          ...baseLoad,
          hosts: 6,
          engines: 8,
          seed,
          crashingPerSecond: 0,
          otherCrashesPerSecond,
          soundPerSecond: 30,
        });
        assert.equal(result.blocked, 0, JSON.stringify(result));
        assert.equal(result.rejectedSound, 0, JSON.stringify(result));
      },
    ),
    readPropertyOptions(22, 12),
  ));
