import { hostIdSchema, poolIdSchema, type BackendServerId, type HostId } from '@endiveferry/base';

import { type Fleet } from '../createFleet.js';
import { type Sample } from '../runLoad.js';
import {
  computeAttainment,
  createMinTarget,
  createMaxTarget,
  selectSentBetween,
} from '../scenarios/Scenario.js';
import {
  BALANCER_INTERVAL_MS,
  buildSafetyTargets,
  publishChange,
  createResult,
  listReadyAddresses,
  POLL_INTERVAL_MS,
  runFleetLoad,
  startExperimentFleet,
  wait,
  waitForRevision,
  monitorRevisions,
} from './fleetLoad.js';
import { startDaemonWorker } from '../startDaemonWorker.js';
import { summarize } from '../summarize.js';

/**
 * Changes the configuration while the platform is up, while it is down for one host, and while it is
 * down or stale for all hosts but one.
 */
export async function runConfigChange(): Promise<object> {
  const fleet = await startExperimentFleet();
  const monitor = monitorRevisions(fleet);
  const upMs = await waitForRevision(fleet, publishChange(fleet));
  fleet.platform.setMode('down', 'host-3');
  await wait(500);
  const oneDownMs = await waitForRevision(fleet, publishChange(fleet));
  for (const id of ['host-2', 'host-3']) fleet.platform.setMode('down', id);
  for (const id of ['host-4', 'host-5', 'host-6']) fleet.platform.setMode('stale', id);
  await wait(500);
  const revision = publishChange(fleet);
  const mostlyStaleMs = await waitForRevision(fleet, revision);
  // One host restarts while the platform returns a stale revision to it, the other while the
  // platform is down for it.
  for (const id of ['host-5', 'host-2'].map((name) => hostIdSchema.parse(name))) {
    await fleet.daemons.get(id)?.kill();
    const daemon = await fleet.startHost(id);
    await daemon.waitUntilReady();
  }
  await wait(200);
  monitor.stop();
  const olderSeen = monitor.countRegressions();
  await fleet.close();
  const figures = { upMs, oneDownMs, mostlyStaleMs, olderSeen };
  return createResult('config-change', figures, [
    createMaxTarget('in force everywhere, platform up, ms', upMs, 2_000),
    createMaxTarget('in force everywhere, platform down for one host, ms', oneDownMs, 2_000),
    createMaxTarget('in force everywhere, down or stale for all but one, ms', mostlyStaleMs, 8_000),
    createMaxTarget('an older revision seen at a ready host, restarts included', olderSeen, 0),
  ]);
}

/** Time within which all hosts stop sending calls to a leaving server, in milliseconds. */
const DRAIN_BOUND_MS = 3_000;

/** Counts calls that started at a server after the bound since it began to leave. */
function countLateStarts(fleet: Fleet, serverId: BackendServerId, leavingSince: number): number {
  return fleet.standIns.executionLog
    .list()
    .filter(
      (execution) =>
        execution.serverId === serverId && execution.startedAt > leavingSince + DRAIN_BOUND_MS,
    ).length;
}

/**
 * Drains two engines: one by the host list, one by its own load report while the platform is down.
 */
export async function runDrainServer(): Promise<object> {
  const fleet = await startExperimentFleet();
  const [first, second] = fleet.standIns.listPool(poolIdSchema.parse('models'));
  if (first === undefined || second === undefined) throw new Error('two engines are required');
  const load = runFleetLoad(fleet, 16_000);
  await wait(3_000);
  const live = Object.fromEntries(
    [...fleet.daemons.keys()].map((id) => [id, { state: 'live' as const }]),
  );
  fleet.publishHosts({
    hosts: live,
    backendServers: { [first.serverId]: { state: 'leaving' } },
  });
  const firstLeavingSince = performance.now();
  await wait(4_000);
  fleet.platform.setMode('down');
  second.faults.isLeaving = true;
  const secondLeavingSince = performance.now();
  const samples = await load;
  const lateByList = countLateStarts(fleet, first.serverId, firstLeavingSince);
  const lateByReport = countLateStarts(fleet, second.serverId, secondLeavingSince);
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

/** Restarts all hosts one after another under load. */
export async function runRollingRestart(): Promise<object> {
  const fleet = await startExperimentFleet();
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

/** Kills one host without draining it, and does not restart it. */
export async function runHostKill(): Promise<object> {
  const fleet = await startExperimentFleet();
  const killedHostId = hostIdSchema.parse('host-2');
  const address = fleet.daemons.get(killedHostId)?.addresses.callers ?? '';
  const load = runFleetLoad(fleet, 12_000);
  await wait(5_000);
  const killedAtMs = 5_000;
  await fleet.daemons.get(killedHostId)?.kill();
  const samples = await load;
  const summary = summarize(samples, fleet.standIns.executionLog);
  const isAtKilledHost = (sample: Sample) => sample.address === address;
  const others = samples.filter((sample) => !isAtKilledHost(sample));
  const keyed = samples.filter(({ flow }) => flow.isKeyed === true);
  const mayHaveRun = ({ reply }: Sample) => reply?.execution === 'may-have-run';
  const computeMayHaveRunShare = (fromMs: number, toMs: number) => {
    const selected = selectSentBetween(keyed, fromMs, toMs);
    return selected.length === 0 ? 0 : selected.filter(mayHaveRun).length / selected.length;
  };
  const mayHaveRunElsewhereMs = others
    .filter(mayHaveRun)
    .map(({ sentAtMs }) => sentAtMs - killedAtMs);
  await fleet.close();
  const figures = {
    ...summary,
    keyedUnsureBefore: computeMayHaveRunShare(0, killedAtMs),
    keyedUnsureInFirstSecond: computeMayHaveRunShare(killedAtMs, killedAtMs + 1_000),
    keyedUnsureAfter: computeMayHaveRunShare(killedAtMs + 1_000, Infinity),
    lastUnsureAfterMs: Math.max(0, ...mayHaveRunElsewhereMs),
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

/** Partitions the six hosts into two halves for 20 s, with callers on both sides. */
export async function runPartition(): Promise<object> {
  const fleet = await startExperimentFleet({ hasRelays: true });
  const leftHosts = new Set<HostId>([...fleet.daemons.keys()].slice(0, 3));
  const load = runFleetLoad(fleet, PARTITION_AT_MS + PARTITION_MS + 8_000);
  await wait(PARTITION_AT_MS);
  fleet.setPartition((from, to) => leftHosts.has(from) !== leftHosts.has(to));
  await wait(PARTITION_MS);
  fleet.setPartition(() => false);
  const healedAt = performance.now();
  const areAllLinksUp = () =>
    [...fleet.daemons.values()].every((daemon) =>
      daemon.status().peers.every(({ link }) => link === 'up'),
    );
  while (!areAllLinksUp() && performance.now() - healedAt < 30_000) await wait(POLL_INTERVAL_MS);
  const convergedMs = performance.now() - healedAt;
  const samples = await load;
  const summary = summarize(samples, fleet.standIns.executionLog);
  const duringPartition = selectSentBetween(
    samples,
    PARTITION_AT_MS,
    PARTITION_AT_MS + PARTITION_MS,
  );
  const leftAddresses = new Set(
    [...leftHosts].map((id) => fleet.daemons.get(id)?.addresses.callers ?? ''),
  );
  const plans = duringPartition.filter(({ flow }) => flow.pipeline === 'beam-plan');
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

const STALL_MS = 15_000;

/**
 * Stalls the event loop of one host for 15 s. The host then resumes, and sends the messages that
 * were pending when the stall began.
 */
export async function runPause(): Promise<object> {
  const stalledHostId = hostIdSchema.parse('host-6');
  const fleet = await startExperimentFleet({ absentHosts: [stalledHostId] });
  const worker = await startDaemonWorker([fleet.buildSettings(stalledHostId)]);
  const address = worker.addresses[0]?.callers ?? '';
  let isRoutable = true;
  const load = runFleetLoad(fleet, 26_000, () => [
    ...listReadyAddresses(fleet),
    ...(isRoutable ? [address] : []),
  ]);
  await wait(5_000);
  const stall = worker.blockEventLoop(STALL_MS);
  // The load balancer's check of the host fails a second after the stall begins, and succeeds again
  // a second after the stall ends.
  await wait(1_000);
  isRoutable = false;
  await stall;
  await wait(1_000);
  isRoutable = true;
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
