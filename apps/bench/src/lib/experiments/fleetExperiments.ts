import { hostIdSchema, poolIdSchema, type BackendServerId, type HostId } from '@endiveferry/base';

import { type Fleet } from '../createFleet.js';
import { type Sample } from '../runLoad.js';
import {
  computeAttainment,
  createMinTarget,
  createMaxTarget,
  selectSpan,
} from '../scenarios/Scenario.js';
import {
  BALANCER_INTERVAL_MS,
  buildSafetyTargets,
  change,
  createResult,
  listReadyDaemons,
  POLL_MS,
  runFleetLoad,
  startFleet,
  wait,
  waitForRevision,
  watchRevisions,
} from './fleetLoad.js';
import { startDaemonWorker } from '../startDaemonWorker.js';
import { summarize } from '../summarize.js';

/** A change of configuration, with the platform up, partly down, and down or stale. */
export async function runConfigChange(): Promise<object> {
  const fleet = await startFleet();
  const watch = watchRevisions(fleet);
  const upMs = await waitForRevision(fleet, change(fleet));
  fleet.platform.setMode('down', 'host-3');
  await wait(500);
  const oneDownMs = await waitForRevision(fleet, change(fleet));
  for (const id of ['host-2', 'host-3']) fleet.platform.setMode('down', id);
  for (const id of ['host-4', 'host-5', 'host-6']) fleet.platform.setMode('stale', id);
  await wait(500);
  const revision = change(fleet);
  const mostlyStaleMs = await waitForRevision(fleet, revision);
  // Restarted while the platform shows it an old revision, and while it shows it nothing.
  for (const id of ['host-5', 'host-2'].map((name) => hostIdSchema.parse(name))) {
    await fleet.daemons.get(id)?.kill();
    const daemon = await fleet.startHost(id);
    await daemon.waitUntilReady();
  }
  await wait(200);
  watch.stop();
  const olderSeen = watch.countOlder();
  await fleet.close();
  const figures = { upMs, oneDownMs, mostlyStaleMs, olderSeen };
  return createResult('config-change', figures, [
    createMaxTarget('in force everywhere, platform up, ms', upMs, 2_000),
    createMaxTarget('in force everywhere, platform down for one host, ms', oneDownMs, 2_000),
    createMaxTarget('in force everywhere, down or stale for all but one, ms', mostlyStaleMs, 8_000),
    createMaxTarget('an older revision seen at a ready host, restarts included', olderSeen, 0),
  ]);
}

const DRAIN_BOUND_MS = 3_000;

/** Starts of work at a server later than the bound after it began to leave. */
function countLateStarts(fleet: Fleet, serverId: BackendServerId, leftAt: number): number {
  return fleet.standIns.executionLog
    .list()
    .filter(
      (execution) =>
        execution.serverId === serverId && execution.startedAt > leftAt + DRAIN_BOUND_MS,
    ).length;
}

/** Two engines leave, one by the list, one by its own report while the platform is down. */
export async function runDrainServer(): Promise<object> {
  const fleet = await startFleet();
  const [first, second] = fleet.standIns.listPool(poolIdSchema.parse('models'));
  if (first === undefined || second === undefined) throw new Error('the example has no engines');
  const load = runFleetLoad(fleet, 16_000);
  await wait(3_000);
  const live = Object.fromEntries(
    [...fleet.daemons.keys()].map((id) => [id, { state: 'live' as const }]),
  );
  fleet.publishHosts({
    hosts: live,
    backendServers: { [first.serverId]: { state: 'leaving' } },
  });
  const firstLeftAt = performance.now();
  await wait(4_000);
  fleet.platform.setMode('down');
  second.faults.isLeaving = true;
  const secondLeftAt = performance.now();
  const samples = await load;
  const lateByList = countLateStarts(fleet, first.serverId, firstLeftAt);
  const lateByReport = countLateStarts(fleet, second.serverId, secondLeftAt);
  const summary = summarize(samples, fleet.standIns.executionLog);
  const attained = computeAttainment(samples);
  await fleet.close();
  return createResult('drain-server', { ...summary, lateByList, lateByReport, attained }, [
    createMaxTarget('new work after 3 s, left by the list', lateByList, 0),
    createMaxTarget('new work after 3 s, left by its report, platform down', lateByReport, 0),
    createMinTarget('attainment while they leave', attained, 1),
    ...buildSafetyTargets(summary),
  ]);
}

/** All six hosts are restarted in turn, under load. */
export async function runRollingRestart(): Promise<object> {
  const fleet = await startFleet();
  const undisturbed = computeAttainment(await runFleetLoad(fleet, 5_000));
  const load = runFleetLoad(fleet, 18_000);
  await wait(1_000);
  for (const hostId of [...fleet.daemons.keys()]) {
    await fleet.daemons.get(hostId)?.drain();
    const daemon = await fleet.startHost(hostId);
    await daemon.waitUntilReady();
    await wait(2 * BALANCER_INTERVAL_MS);
  }
  const samples = await load;
  const summary = summarize(samples, fleet.standIns.executionLog);
  const attained = computeAttainment(samples);
  await fleet.close();
  return createResult('rolling-restart', { ...summary, attained, undisturbed }, [
    createMaxTarget('cut off or lost', summary.lost, 0),
    createMinTarget('attainment against undisturbed', attained / undisturbed, 0.99),
    ...buildSafetyTargets(summary),
  ]);
}

/** One host dies without warning, and stays away. */
export async function runHostKill(): Promise<object> {
  const fleet = await startFleet();
  const victim = hostIdSchema.parse('host-2');
  const address = fleet.daemons.get(victim)?.addresses.callers ?? '';
  const load = runFleetLoad(fleet, 12_000);
  await wait(5_000);
  const killedAtMs = 5_000;
  await fleet.daemons.get(victim)?.kill();
  const samples = await load;
  const summary = summarize(samples, fleet.standIns.executionLog);
  const isHeld = (sample: Sample) => sample.address === address;
  const others = samples.filter((sample) => !isHeld(sample));
  const keyed = samples.filter(({ flow }) => flow.isKeyed === true);
  const isUnsure = ({ reply }: Sample) => reply?.execution === 'may-have-run';
  const countUnsure = (fromMs: number, toMs: number) => {
    const span = selectSpan(keyed, fromMs, toMs);
    return span.length === 0 ? 0 : span.filter(isUnsure).length / span.length;
  };
  const unsureLater = others.filter(isUnsure).map(({ sentAtMs }) => sentAtMs - killedAtMs);
  await fleet.close();
  const figures = {
    ...summary,
    keyedUnsureBefore: countUnsure(0, killedAtMs),
    keyedUnsureInFirstSecond: countUnsure(killedAtMs, killedAtMs + 1_000),
    keyedUnsureAfter: countUnsure(killedAtMs + 1_000, Infinity),
    lastUnsureAfterMs: Math.max(0, ...unsureLater),
    lostElsewhere: others.filter(({ reply }) => reply === undefined).length,
  };
  return createResult('host-kill', figures, [
    createMaxTarget('requests lost at other hosts', figures.lostElsewhere, 0),
    createMinTarget(
      'attainment of plans at other hosts',
      computeAttainment(others.filter(({ flow }) => flow.pipeline === 'beam-plan')),
      0.99,
    ),
    ...buildSafetyTargets(summary),
  ]);
}

const PARTITION_AT_MS = 4_000;
const PARTITION_MS = 20_000;

/** Three hosts and three hosts lose each other for 20 s, with callers on both sides. */
export async function runPartition(): Promise<object> {
  const fleet = await startFleet({ hasRelays: true });
  const left = new Set<HostId>([...fleet.daemons.keys()].slice(0, 3));
  const load = runFleetLoad(fleet, PARTITION_AT_MS + PARTITION_MS + 8_000);
  await wait(PARTITION_AT_MS);
  fleet.cutPeers((from, to) => left.has(from) !== left.has(to));
  await wait(PARTITION_MS);
  fleet.cutPeers(() => false);
  const healedAt = performance.now();
  const areLinked = () =>
    [...fleet.daemons.values()].every((daemon) =>
      daemon.status().peers.every(({ link }) => link === 'up'),
    );
  while (!areLinked() && performance.now() - healedAt < 30_000) await wait(POLL_MS);
  const convergedMs = performance.now() - healedAt;
  const samples = await load;
  const summary = summarize(samples, fleet.standIns.executionLog);
  const during = selectSpan(samples, PARTITION_AT_MS, PARTITION_AT_MS + PARTITION_MS);
  const leftAddresses = new Set(
    [...left].map((id) => fleet.daemons.get(id)?.addresses.callers ?? ''),
  );
  const plans = during.filter(({ flow }) => flow.pipeline === 'beam-plan');
  const sides = [true, false].map((isLeft) =>
    computeAttainment(plans.filter(({ address }) => leftAddresses.has(address) === isLeft)),
  );
  await fleet.close();
  return createResult('partition', { ...summary, convergedMs, attainmentBySide: sides }, [
    createMinTarget('attainment of plans on the worse side', Math.min(...sides), 0.99),
    createMaxTarget('all links up after healing, ms', convergedMs, 5_000),
    ...buildSafetyTargets(summary),
  ]);
}

const PAUSE_MS = 15_000;

/** One host stands still for 15 s and wakes with what it was about to send. */
export async function runPause(): Promise<object> {
  const paused = hostIdSchema.parse('host-6');
  const fleet = await startFleet({ absentHosts: [paused] });
  const worker = await startDaemonWorker([fleet.buildSettings(paused)]);
  const address = worker.addresses[0]?.callers ?? '';
  let isSeen = true;
  const load = runFleetLoad(fleet, 26_000, () => [
    ...listReadyDaemons(fleet),
    ...(isSeen ? [address] : []),
  ]);
  await wait(5_000);
  const pause = worker.pause(PAUSE_MS);
  // The balancer's check of the host fails a second later, and works again after it woke.
  await wait(1_000);
  isSeen = false;
  await pause;
  await wait(1_000);
  isSeen = true;
  const samples = await load;
  const summary = summarize(samples, fleet.standIns.executionLog);
  const others = samples.filter((sample) => sample.address !== address);
  await worker.close();
  await fleet.close();
  const lostElsewhere = others.filter(({ reply }) => reply === undefined).length;
  return createResult('pause', { ...summary, lostElsewhere }, [
    createMinTarget(
      'attainment of plans at other hosts',
      computeAttainment(others.filter(({ flow }) => flow.pipeline === 'beam-plan')),
      0.99,
    ),
    createMaxTarget('requests lost at other hosts', lostElsewhere, 0),
    ...buildSafetyTargets(summary),
  ]);
}
