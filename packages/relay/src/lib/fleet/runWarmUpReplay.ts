import assert from 'node:assert/strict';

import {
  createFleetStability,
  createWarmUpShares,
  type FleetStability,
  type WarmUpShares,
} from '@endiveferry/admission';
import {
  availabilityZoneIdSchema,
  backendServerIdSchema,
  createFakeClock,
  createRandom,
  hostIdSchema,
  processIdSchema,
  type HostId,
} from '@endiveferry/base';
import { choosePeers, isFullyLinked } from '@endiveferry/peers';
import { createLogger, setLogWriter } from '@endiveferry/telemetry';

import { createMembership, type Membership } from './createMembership.js';
import type { RelayHeartbeat } from './messages.js';

setLogWriter(() => undefined);

const SECOND_MS = 1_000;
/** Bounds of the requests to a cold server. @internal */
export const BOUNDS = { overshoot: 1.5, slack: 5 };
const WARM_UP_MS = 10_000;
/** Time by which all hosts of a fleet that started together have their shares, in milliseconds. @internal */
export const SETTLED_MS = 13_000;
const serverId = backendServerIdSchema.parse('cold');

/** A load on a cold server. @internal */
export interface Load {
  readonly hosts: number;
  readonly perSecond: number;
  /** Requests a second that each host has for the server. */
  readonly hostPerSecond: number;
  readonly restartsPerSecond: number;
  /** When two halves lose each other, and for how long, in milliseconds. */
  readonly partition?: { readonly at: number; readonly forMs: number };
  readonly lossShare: number;
  readonly seed: number;
}

interface HostState {
  readonly members: Membership;
  readonly stability: FleetStability;
  readonly shares: WarmUpShares;
  readonly end: () => void;
}

/** Share of the heartbeats that arrive late. */
const LATE_SHARE = 0.1;

const emptyHeartbeat: RelayHeartbeat = {
  processId: processIdSchema.parse('process'),
  availabilityZone: availabilityZoneIdSchema.parse('a'),
  isStopping: false,
  isCutOff: false,
  weight: 1,
  version: 1,
  serversEpoch: 1,
  serversRevision: 1,
  hosts: [],
  waits: [],
  pending: [],
  suspects: [],
  limits: [],
  backoffs: [],
  leaving: [],
};

/** Returns the largest number of requests in any window of a second. */
function findMost(times: readonly number[]): number {
  let most = 0;
  let first = 0;
  for (const [index, at] of times.entries()) {
    while ((times[first] ?? at) <= at - SECOND_MS) first += 1;
    most = Math.max(most, index - first + 1);
  }
  return most;
}

/** Time between two looks at which hosts have a heartbeat to send, in milliseconds. */
const STEP_MS = 100;

/**
 * Replays a load on a server that is cold all the time, from the start of the fleet on.
 *
 * @param load - the load
 * @returns the most requests in any second, and the share of the rate that was used once settled
 * @internal
 */
export async function runWarmUpReplay(load: Load) {
  const { hosts, perSecond, partition } = load;
  const clock = createFakeClock();
  const random = createRandom(load.seed);
  const ids = Array.from({ length: hosts }, (_, index) => hostIdSchema.parse(`10.0.0.${index}`));
  const zone = availabilityZoneIdSchema.parse('a');
  const zones = new Map(ids.map((id) => [id, zone]));
  const peers = new Map(ids.map((id) => [id, choosePeers(id, zones)]));
  const isSmall = isFullyLinked(hosts);
  const intervalSteps = (isSmall ? 400 : 1_000) / STEP_MS;
  const half = new Set(ids.filter(() => random.nextFraction() < 0.5));
  const states = new Map<HostId, HostState>();
  const cold = { serverId, perSecond, senderKey: undefined };
  const arrivals: number[] = [];

  function startHost(hostId: HostId): void {
    states.get(hostId)?.end();
    const members = createMembership({
      hostId,
      clock,
      logger: createLogger(hostId, 'error'),
      random,
      onChange: () => undefined,
    });
    members.setLinked([...(peers.get(hostId) ?? [])]);
    const stability = createFleetStability({
      clock,
      hostId,
      seeds: ids.slice(0, 2),
      listLive: () => [hostId, ...members.listLive().keys()],
      listPreferred: () => [],
    });
    const controller = new AbortController();
    void stability.run(controller.signal);
    const shares = createWarmUpShares({ clock, hostId, stability, findBounds: () => BOUNDS });
    states.set(hostId, { members, stability, shares, end: () => controller.abort() });
  }

  const isPartitioned = () =>
    partition !== undefined &&
    clock.now() >= partition.at &&
    clock.now() < partition.at + partition.forMs;

  /** Sends a heartbeat, which is lost, or arrives with what the sender knew up to 0.5 s before. */
  function send(from: HostId, to: HostId): void {
    const isCut = isPartitioned() && half.has(from) !== half.has(to);
    if (isCut || random.nextFraction() < load.lossShare) return;
    const sender = states.get(from);
    if (sender === undefined) return;
    const { members, stability } = sender;
    const report = { hosts: members.listReported(), lost: stability.listLost() };
    const deliver = () => {
      states.get(to)?.members.recordHeartbeat(from, { ...emptyHeartbeat, hosts: report.hosts });
      states.get(to)?.stability.applyLost(report.lost);
    };
    if (random.nextFraction() < LATE_SHARE) clock.schedule(random.nextFraction() * 500, deliver);
    else deliver();
  }

  function step(index: number): void {
    for (const [number, from] of ids.entries()) {
      if ((number + index) % intervalSteps !== 0) continue;
      for (const to of peers.get(from) ?? []) {
        send(from, to);
        // Links carry the heartbeats of both ends.
        send(to, from);
      }
    }
    if (random.nextFraction() < (load.restartsPerSecond * STEP_MS) / SECOND_MS)
      startHost(ids[random.nextInteger(hosts)] ?? assert.fail('no host'));
    senders = [...states.values()].flatMap(({ shares }) => (shares.hasShare(cold) ? [shares] : []));
    clock.schedule(STEP_MS, () => step(index + 1));
  }

  /** Only the hosts with a share get requests, as the others send none. */
  let senders: readonly WarmUpShares[] = [];
  function request(): void {
    const most = Math.min(hosts, Math.ceil(perSecond * BOUNDS.overshoot + BOUNDS.slack));
    const gapMs = (2 * SECOND_MS * random.nextFraction()) / (load.hostPerSecond * most);
    clock.schedule(gapMs, request);
    const shares = senders[random.nextInteger(most)];
    if (shares?.maySend(cold) !== true) return;
    shares.reserve(serverId);
    // The request is written a few milliseconds after the choice, and arrives later.
    clock.schedule(random.nextFraction() * 5, () => {
      if (!shares.tryWrite(cold)) return;
      const at = clock.now() + 1 + random.nextFraction() * 20;
      arrivals.push(at);
    });
  }

  for (const id of ids) startHost(id);
  step(0);
  request();
  await clock.advance(SETTLED_MS + WARM_UP_MS);
  for (const { end } of states.values()) end();
  arrivals.sort((a, b) => a - b);
  const settled = arrivals.filter((at) => at >= SETTLED_MS).length;
  return { most: findMost(arrivals), used: settled / (WARM_UP_MS / SECOND_MS) / perSecond };
}
