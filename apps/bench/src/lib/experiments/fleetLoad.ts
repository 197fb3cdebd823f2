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

const LOAD = 0.4;
const BOOKINGS_PER_SECOND = 3;
/** How often the balancer looks at readiness, in milliseconds. @internal */
export const BALANCER_INTERVAL_MS = 100;
/** How often an experiment looks at a host's state, in milliseconds. @internal */
export const POLL_MS = 10;

/** Waits in real time. @internal */
export const wait = (ms: number) => new Promise<void>((resolve) => setTimeout(resolve, ms));

/** Starts the fleet of an experiment. @internal */
export async function startFleet(options: Partial<FleetOptions> = {}): Promise<Fleet> {
  return createFleet({
    source: await readBenchConfiguration(),
    seed: 1,
    tokenIntervalMs: BENCH_TOKEN_INTERVAL_MS,
    readinessGraceMs: 3 * BALANCER_INTERVAL_MS,
    ...options,
  });
}

/** Plans of two ranks and bookings with and without a key. */
function buildFlows(fleet: Fleet): readonly Flow[] {
  const rate = (computeCapacity(fleet.configuration()) * LOAD) / benchWorkspaces.length;
  return benchWorkspaces.flatMap((workspace) => [
    createPlanFlow(workspace, 'urgent', () => rate * 0.6),
    createPlanFlow(workspace, 'standard', () => rate * 0.4),
    createBookingFlow(workspace, () => BOOKINGS_PER_SECOND / 5),
    { ...createBookingFlow(workspace, () => BOOKINGS_PER_SECOND / 5), isKeyed: true },
  ]);
}

/** A balancer that sees readiness as late as it looks. */
function startBalancer(listReady: () => readonly string[]) {
  let known = listReady();
  const timer = setInterval(() => (known = listReady()), BALANCER_INTERVAL_MS);
  return { listAddresses: () => known, stop: () => clearInterval(timer) };
}

/** Lists where ready daemons take callers. @internal */
export const listReadyDaemons = (fleet: Fleet) =>
  [...fleet.daemons.values()]
    .filter((daemon) => daemon.state() === 'ready')
    .map((daemon) => daemon.addresses.callers);

/** Sends an experiment's load through a balancer. @internal */
export async function runFleetLoad(
  fleet: Fleet,
  durationMs: number,
  listReady = () => listReadyDaemons(fleet),
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

/** Creates the result of an experiment that has no baseline. @internal */
export function createResult(scenario: string, product: object, targets: readonly Target[]) {
  return {
    scenario,
    seed: 1,
    product: { ...product, targets },
    // A plain gateway has no revisions, drains or keys to compare with.
    baseline: null,
  };
}

/** The targets that hold in every experiment. @internal */
export function buildSafetyTargets({
  doubled,
  falseNotRun,
}: ReturnType<typeof summarize>): Target[] {
  return [createMaxTarget('doubled', doubled, 0), createMaxTarget('false not-run', falseNotRun, 0)];
}

/** Waits until all daemons have a revision in force; the result is how long it took. @internal */
export async function waitForRevision(fleet: Fleet, revision: number): Promise<number> {
  const startedAt = performance.now();
  const isInForce = () =>
    [...fleet.daemons.values()].every(
      (daemon) => (daemon.status().configurationRevision ?? 0) >= revision,
    );
  while (!isInForce()) await wait(POLL_MS);
  return performance.now() - startedAt;
}

/** Watches that no host ever shows an older revision than it is meant to have. @internal */
export function watchRevisions(fleet: Fleet) {
  const newest = new Map<string, number>();
  let older = 0;
  const timer = setInterval(() => {
    for (const daemon of fleet.daemons.values()) {
      if (daemon.state() !== 'ready') continue;
      const revision = daemon.status().configurationRevision ?? 0;
      if (revision < (newest.get(daemon.hostId) ?? 0)) older += 1;
      newest.set(daemon.hostId, Math.max(revision, newest.get(daemon.hostId) ?? 0));
    }
  }, POLL_MS);
  return {
    countOlder: () => older,
    stop: () => clearInterval(timer),
  };
}

/** Publishes a change that every revision may take. @internal */
export const change = (fleet: Fleet) =>
  fleet.publish((configuration) => {
    configuration.limits.maxQueuedPerPool += 1;
  });
