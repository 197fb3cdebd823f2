import { createRandom } from '@endiveferry/base';

import {
  BENCH_TOKEN_INTERVAL_MS,
  benchWorkspaces,
  computeCapacity,
  createBookingFlow,
  createPlanFlow,
  readBenchConfiguration,
} from '../benchConfiguration.js';
import { createFleet, type Fleet, type FleetOptions } from '../createFleet.js';
import { runLoad, type Flow, type Sample } from '../runLoad.js';
import { createMaxTarget, type Target } from '../scenarios/Scenario.js';
import { summarize } from '../summarize.js';

/** Request rate as a share of the capacity. */
const LOAD_SHARE = 0.4;
/** Rate of bookings with keys, and of those without, over all five workspaces. */
const BOOKINGS_PER_SECOND = 3;
/** Interval at which the load balancer checks readiness, in milliseconds. @internal */
export const BALANCER_INTERVAL_MS = 100;
/** Interval at which experiments poll the state of hosts, in milliseconds. @internal */
export const POLL_INTERVAL_MS = 10;

/** Waits for a time, in milliseconds. @internal */
export const wait = (ms: number) => new Promise<void>((resolve) => setTimeout(resolve, ms));

/** Starts a fleet with the configuration of the experiments. @internal */
export async function startExperimentFleet(options: Partial<FleetOptions> = {}): Promise<Fleet> {
  return createFleet({
    source: await readBenchConfiguration(),
    seed: 1,
    tokenIntervalMs: BENCH_TOKEN_INTERVAL_MS,
    readinessGraceMs: 3 * BALANCER_INTERVAL_MS,
    ...options,
  });
}

/** Builds flows of beam plans in two ranks, and of bookings with and without idempotency keys. */
function buildFlows(fleet: Fleet): readonly Flow[] {
  const rate = (computeCapacity(fleet.configuration()) * LOAD_SHARE) / benchWorkspaces.length;
  return benchWorkspaces.flatMap((workspace) => [
    createPlanFlow(workspace, 'urgent', () => rate * 0.6),
    createPlanFlow(workspace, 'standard', () => rate * 0.4),
    createBookingFlow(workspace, () => BOOKINGS_PER_SECOND / 5),
    { ...createBookingFlow(workspace, () => BOOKINGS_PER_SECOND / 5), isKeyed: true },
  ]);
}

/** Starts a load balancer whose view of readiness is as old as its last check. */
function startBalancer(listReady: () => readonly string[]) {
  let addresses = listReady();
  const timer = setInterval(() => (addresses = listReady()), BALANCER_INTERVAL_MS);
  return { listAddresses: () => addresses, stop: () => clearInterval(timer) };
}

/** Lists the addresses for callers of the daemons that are ready. @internal */
export const listReadyAddresses = (fleet: Fleet) =>
  [...fleet.daemons.values()]
    .filter((daemon) => daemon.state() === 'ready')
    .map((daemon) => daemon.addresses.callers);

/** Sends the load of an experiment through a load balancer. @internal */
export async function runFleetLoad(
  fleet: Fleet,
  durationMs: number,
  listReady = () => listReadyAddresses(fleet),
): Promise<readonly Sample[]> {
  const balancer = startBalancer(listReady);
  const samples = await runLoad({
    flows: buildFlows(fleet),
    durationMs,
    random: createRandom(1),
    listAddresses: balancer.listAddresses,
  });
  balancer.stop();
  return samples;
}

/** Creates the result of an experiment without a baseline. @internal */
export function createResult(scenario: string, product: object, targets: readonly Target[]) {
  return {
    scenario,
    seed: 1,
    product: { ...product, targets },
    // A plain gateway has no revisions, draining or idempotency keys to compare with.
    baseline: null,
  };
}

/** Builds the safety targets that every experiment must meet. @internal */
export function buildSafetyTargets({
  doubled,
  falseNotRun,
}: ReturnType<typeof summarize>): Target[] {
  return [createMaxTarget('doubled', doubled, 0), createMaxTarget('false not-run', falseNotRun, 0)];
}

/** Waits until all daemons apply a revision or a later one; returns the time in ms. @internal */
export async function waitForRevision(fleet: Fleet, revision: number): Promise<number> {
  const startedAt = performance.now();
  const isApplied = () =>
    [...fleet.daemons.values()].every(
      (daemon) => (daemon.status().configurationRevision ?? 0) >= revision,
    );
  while (!isApplied()) await wait(POLL_INTERVAL_MS);
  return performance.now() - startedAt;
}

/** Counts polls in which a ready host has an older revision than it had before. @internal */
export function monitorRevisions(fleet: Fleet) {
  const newestByHost = new Map<string, number>();
  let regressions = 0;
  const timer = setInterval(() => {
    for (const daemon of fleet.daemons.values()) {
      if (daemon.state() !== 'ready') continue;
      const revision = daemon.status().configurationRevision ?? 0;
      if (revision < (newestByHost.get(daemon.hostId) ?? 0)) regressions += 1;
      newestByHost.set(daemon.hostId, Math.max(revision, newestByHost.get(daemon.hostId) ?? 0));
    }
  }, POLL_INTERVAL_MS);
  return {
    countRegressions: () => regressions,
    stop: () => clearInterval(timer),
  };
}

/** Publishes a change that is valid for any configuration. @internal */
export const publishChange = (fleet: Fleet) =>
  fleet.publish((configuration) => {
    configuration.limits.maxQueuedPerPool += 1;
  });
