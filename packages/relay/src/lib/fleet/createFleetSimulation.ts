import {
  availabilityZoneIdSchema,
  hostIdSchema,
  type FakeClock,
  type HostId,
  type Random,
} from '@endiveferry/base';
import { choosePeers, createAnnouncer, isFullyLinked } from '@endiveferry/peers';

const HEARTBEAT_INTERVAL_MS = 400;
const LARGE_HEARTBEAT_INTERVAL_MS = 1_000;
/** Time within which all hosts know what one of them learned, in milliseconds. */
const CONTACT_MS = 3_000;
/** The same in fleets that are not fully linked. */
const LARGE_CONTACT_MS = 4_000;
const MIN_DELAY_MS = 3;
const MAX_EXTRA_DELAY_MS = 40;

/** A simulated host. @internal */
export interface SimulatedHost<State> {
  readonly id: HostId;
  /** What the host knows; lost when it restarts. */
  state: State;
  startedAt: number;
}

/** Hosts that exchange reports in heartbeats, on a simulated clock. @internal */
export interface FleetSimulation<State> {
  readonly ids: readonly HostId[];
  /** Time within which all hosts know what one of them learned, in milliseconds. */
  readonly contactMs: number;
  pickHost(): SimulatedHost<State>;
  readonly listHosts: () => readonly SimulatedHost<State>[];
  /** Restarts a random host, which forgets everything. */
  restartHost(): void;
  /** Runs a function at random times. */
  repeat(perSecond: number, run: () => void): void;
}

/** Options of {@link createFleetSimulation}. @internal */
export interface FleetSimulationOptions<State, Report> {
  readonly clock: FakeClock;
  readonly random: Random;
  readonly hosts: number;
  /** Share of the exchanges that are lost. */
  readonly lossShare: number;
  /** Creates the state of a host, which calls `announce` to send its reports soon. */
  readonly createState: (id: HostId, announce: () => void) => State;
  readonly buildReport: (state: State) => Report;
  readonly applyReport: (state: State, report: Report, from: HostId) => void;
}

/**
 * Starts simulated hosts with the links and heartbeats of a real fleet.
 *
 * @param options - see {@link FleetSimulationOptions}
 * @returns the hosts
 * @internal
 */
export function createFleetSimulation<State, Report>(
  options: FleetSimulationOptions<State, Report>,
): FleetSimulation<State> {
  const { clock, random, lossShare, buildReport, applyReport } = options;
  const zone = availabilityZoneIdSchema.parse('zone');
  const ids = Array.from({ length: options.hosts }, (_, index) =>
    hostIdSchema.parse(`10.0.0.${index}`),
  );
  const isSmall = isFullyLinked(ids.length);
  const zones = new Map(ids.map((id) => [id, zone]));
  const peers = new Map(ids.map((id) => [id, choosePeers(id, zones)]));
  const hosts = new Map<HostId, SimulatedHost<State>>();

  const computeDelayMs = () => MIN_DELAY_MS + random.nextFraction() * MAX_EXTRA_DELAY_MS;

  function findHost(id: HostId): SimulatedHost<State> {
    const host = hosts.get(id);
    if (host === undefined) throw new Error(`host ${id} was not started`);
    return host;
  }

  function startHost(id: HostId): void {
    const announce = createAnnouncer(clock, () => {
      for (const peer of peers.get(id) ?? []) exchange(id, peer);
    });
    const state = options.createState(id, announce);
    hosts.set(id, { id, state, startedAt: clock.now() });
  }

  /** Sends the report of one host to another, which replies with its own. */
  function exchange(from: HostId, to: HostId): void {
    if (random.nextFraction() < lossShare) return;
    const sent = buildReport(findHost(from).state);
    clock.schedule(computeDelayMs(), () => {
      const receiver = findHost(to).state;
      applyReport(receiver, sent, from);
      const reply = buildReport(receiver);
      clock.schedule(computeDelayMs(), () => applyReport(findHost(from).state, reply, to));
    });
  }

  function repeat(perSecond: number, run: () => void): void {
    if (perSecond <= 0) return;
    const scheduleNext = () =>
      clock.schedule((random.nextFraction() * 2_000) / perSecond, () => {
        run();
        scheduleNext();
      });
    scheduleNext();
  }

  const pickId = () => ids[random.nextInteger(ids.length)] ?? hostIdSchema.parse('none');

  for (const id of ids) startHost(id);
  const intervalMs = isSmall ? HEARTBEAT_INTERVAL_MS : LARGE_HEARTBEAT_INTERVAL_MS;
  for (const id of ids) {
    for (const peer of peers.get(id) ?? []) repeat(1_000 / intervalMs, () => exchange(id, peer));
  }
  return {
    ids,
    contactMs: isSmall ? CONTACT_MS : LARGE_CONTACT_MS,
    pickHost: () => findHost(pickId()),
    listHosts: () => [...hosts.values()],
    restartHost: () => startHost(pickId()),
    repeat,
  };
}
