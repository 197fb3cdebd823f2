import { waitFor, type Clock, type HostId } from '@endiveferry/base';

/** Interval at which the live hosts are read, in milliseconds. */
const TICK_MS = 500;
/** Gap between two reads after which this host may have been suspended, in milliseconds. */
const STALL_MS = 2_500;
/**
 * Time after which a host that has become the preferred one acts as such, in milliseconds. Hosts
 * notice the loss of another one after 1 to 5 s, so this is longer than their differences.
 */
const HOLD_MS = 4_500;
/**
 * Time for which a host that is not live any more is known, in milliseconds. In a partition, hosts of
 * the other half are not live, and must not be forgotten.
 */
const MEMORY_MS = 600_000;
/** Age up to which lost hosts are reported; hosts that hear of them do not report them for longer. */
const REPORT_MS = MEMORY_MS / 2;
const MAX_REPORTED = 16;
/** Gap between two reads that shows that this process was delayed, in milliseconds. */
const DELAYED_MS = TICK_MS + 400;
/** Time after a delay in which calls may have timed out because of it, in milliseconds. */
const DELAY_EFFECT_MS = 2_000;
/** Number of hosts up to which all are linked with each other and learn of a new one at once. */
const MAX_SMALL_FLEET = 9;
/** Time after its start by which a host of a small fleet knows all others, in milliseconds. */
const SMALL_SETTLE_MS = 3_000;
/** The same in a large fleet, in which hosts hear of each other in parts. */
const LARGE_SETTLE_MS = 8_000;
/** Time without a new host after which a host that has just started knows all, in milliseconds. */
const QUIET_MS = 2_000;

/** A host that is not live any more, and the time since it was, in milliseconds. @public */
export type LostHost = readonly [HostId, number];

/**
 * What this host knows of the fleet over time, for shares that must not exceed a sum over all hosts
 * while their views differ.
 *
 * @public
 */
export interface FleetStability {
  /** Whether this host has known the fleet for long enough since its start, or since a suspension. */
  readonly isSettled: () => boolean;
  /** Lists all hosts that were live in the last minutes; the same list until it changes. */
  readonly listKnown: () => readonly HostId[];
  /** Returns the share of these that is live, from 0 to 1. */
  readonly findLiveShare: () => number;
  /** Whether this host has been the preferred one for a key for long enough. */
  readonly isPreferred: (key: string) => boolean;
  /** Whether this process was delayed a moment ago, so that calls may have timed out by its fault. */
  readonly wasDelayed: () => boolean;
  /** Lists hosts that are not live any more, each with its age, for hosts that start meanwhile. */
  readonly listLost: () => LostHost[];
  /** Applies the lost hosts that another host reports. */
  applyLost(lost: readonly LostHost[]): void;
  /** Reads the live hosts at intervals until the signal is aborted. */
  readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Options of {@link createFleetStability}. @public */
export interface FleetStabilityOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  /** Hosts that should be live at the start. A host that starts in a partition misses some. */
  readonly seeds: readonly HostId[];
  /** Lists the live hosts, this one among them. */
  readonly listLive: () => readonly HostId[];
  /** Lists keys with the host that is preferred for each of them. */
  readonly listPreferred: () => Iterable<readonly [key: string, host: HostId | undefined]>;
}

/**
 * Creates the knowledge of a host that has just started.
 *
 * @param options - see {@link FleetStabilityOptions}
 * @returns the knowledge
 * @public
 */
export function createFleetStability(options: FleetStabilityOptions): FleetStability {
  const { clock, hostId } = options;
  /** When each host was last live. */
  const lastLiveAt = new Map(options.seeds.map((id) => [id, clock.now()]));
  const preferredSince = new Map<string, number>();
  let known: readonly HostId[] = [hostId];
  let liveCount = 1;
  let reportedFrom = 0;
  let knownSince = clock.now();
  let lastAddedAt = clock.now();
  let lastTickAt = clock.now();
  let hasSettled = false;
  let delayedAt = -Infinity;

  const findSettleMs = () =>
    lastLiveAt.size <= MAX_SMALL_FLEET ? SMALL_SETTLE_MS : LARGE_SETTLE_MS;

  /** Forgets the view of the fleet after a suspension; a call may come before the next tick. */
  function checkStall(): void {
    if (clock.now() - lastTickAt <= STALL_MS) return;
    lastTickAt = clock.now();
    delayedAt = clock.now();
    knownSince = clock.now();
    hasSettled = false;
    preferredSince.clear();
  }

  function updatePreferred(): void {
    const own = new Set<string>();
    for (const [key, preferred] of options.listPreferred()) if (preferred === hostId) own.add(key);
    for (const key of preferredSince.keys()) if (!own.has(key)) preferredSince.delete(key);
    for (const key of own) if (!preferredSince.has(key)) preferredSince.set(key, clock.now());
  }

  function updateKnown(): void {
    const next = [...lastLiveAt.keys()].sort();
    const isSame = next.length === known.length && next.every((id, index) => id === known[index]);
    if (!isSame) known = next;
  }

  function tick(): void {
    checkStall();
    const now = clock.now();
    if (now - lastTickAt >= DELAYED_MS) delayedAt = now;
    lastTickAt = now;
    const live = options.listLive();
    for (const id of live) {
      if (!lastLiveAt.has(id)) lastAddedAt = now;
      lastLiveAt.set(id, now);
    }
    for (const [id, at] of lastLiveAt) if (now - at > MEMORY_MS) lastLiveAt.delete(id);
    updateKnown();
    liveCount = live.length;
    updatePreferred();
    hasSettled ||= now - knownSince >= findSettleMs() && now - lastAddedAt >= QUIET_MS;
  }

  function isSettled(): boolean {
    checkStall();
    return hasSettled;
  }

  return {
    isSettled,
    listKnown: () => known,
    findLiveShare: () => Math.min(1, liveCount / known.length),
    wasDelayed: () =>
      clock.now() - lastTickAt >= DELAYED_MS || clock.now() - delayedAt < DELAY_EFFECT_MS,
    listLost() {
      const now = clock.now();
      const lost = [...lastLiveAt]
        .map(([id, at]): LostHost => [id, Math.round(now - at)])
        .filter(([, ageMs]) => ageMs > STALL_MS && ageMs < REPORT_MS);
      // Of many, another section is reported each time.
      reportedFrom = lost.length <= MAX_REPORTED ? 0 : (reportedFrom + MAX_REPORTED) % lost.length;
      return [...lost.slice(reportedFrom), ...lost.slice(0, reportedFrom)].slice(0, MAX_REPORTED);
    },
    applyLost(lost) {
      for (const [id, ageMs] of lost) {
        if (lastLiveAt.has(id)) continue;
        lastLiveAt.set(id, clock.now() - ageMs);
        lastAddedAt = clock.now();
      }
    },
    isPreferred: (key) => clock.now() - (preferredSince.get(key) ?? Infinity) >= HOLD_MS,
    async run(signal) {
      while (!signal.aborted) {
        tick();
        await waitFor(clock, TICK_MS, signal);
      }
    },
  };
}
