import type { BackendServerId, Clock } from '@endiveferry/base';

import { noRamps } from '../servers/createServerRamps.js';
import type { ReplicaRamps } from './PieceDispatcher.js';
import { createServerSpeed } from '../servers/createServerSpeed.js';
import type { ListedServer, StageCapacity } from '../RelayConfiguration.js';
import { createUnknownResults } from './createUnknownResults.js';

/** Weight of the latest call in the moving average of a replica's slowness. */
const SLOWNESS_WEIGHT = 0.4;
/**
 * Backoff after a failed or timed-out call, in milliseconds; each consecutive failure doubles it.
 */
const INITIAL_BACKOFF_MS = 600;
/** Upper bound of that backoff, in milliseconds. */
const MAX_BACKOFF_MS = 5_000;
/** Backoff of a replica without free memory or without a free slot, in milliseconds. */
const FULL_BACKOFF_MS = 60;

/**
 * Share of a replica's memory that results of another dispatcher are assumed to occupy while it
 * runs a call of that one. In the load flaxRestart 0.5 gives more results without room, and 0.9
 * leaves replicas idle.
 */
const FOREIGN_MEMORY_SHARE = 0.7;

/** Local state of a replica at the dispatcher. @public */
export interface ReplicaState {
  readonly server: () => ListedServer;
  /** Replaces the replica's entry of the server list. */
  setServer(server: ListedServer): void;
  /** Returns the number of running calls. */
  readonly running: () => number;
  /**
   * Returns the ratio of actual to expected duration of a call that starts now; above 1 is slower.
   * It is a moving average, and for a replica that reports its slowdown the current value.
   */
  readonly slowness: () => number;
  /** Returns the same as an average over time, for planning; 1 unless the replica reports. */
  readonly usualSlowness: () => number;
  readonly isBackingOff: () => boolean;
  /** Returns the pieces that a call may have in addition to its first group; see the ramps. */
  readonly maxPieces: () => number;
  /** Returns the free memory for stage results, in bytes. */
  readonly freeBytes: (capacity: StageCapacity) => number;
  /** Records the start of a call and reserves `bytes` of memory for its results. */
  startCall(bytes: number): void;
  /** Records the end of a call and releases its reservation of `bytes`. */
  endCall(bytes: number): void;
  /** Records a call that was answered, with its duration and the slowdown that was reported. */
  recordSuccess(measuredMs: number, expectedMs: number, slowdown: number | undefined): void;
  /** Records a call that failed or timed out, and starts an exponential backoff. */
  recordFailure(sentAt: number): void;
  /** Records a call or piece rejected for lack of a slot or memory, and starts a short backoff. */
  recordFull(rejection?: { readonly sentAt: number; readonly slowdown?: number | undefined }): void;
  /** Records that the replica runs a call of another dispatcher, whose results occupy memory. */
  recordForeignCall(capacity: StageCapacity): void;
  /** Records that the replica had no room for a result: what seemed free is occupied. */
  recordRefused(capacity: StageCapacity): void;
  addResult(handle: string, bytes: number, ttlMs: number): void;
  /** Removes a result; returns whether it was known. */
  removeResult(handle: string): boolean;
}

function createReplicaState(
  initialServer: ListedServer,
  clock: Clock,
  ramps: ReplicaRamps,
): ReplicaState {
  let server = initialServer;
  const results = new Map<string, { readonly bytes: number; readonly expiresAt: number }>();
  let running = 0;
  let reservedBytes = 0;
  let resultBytes = 0;
  let lastResultBytes = 0;
  const unknownResults = createUnknownResults(clock);
  const speed = createServerSpeed(clock);
  let slowness = 1;
  let backoffUntil = 0;
  let consecutiveFailures = 0;

  function removeResult(handle: string): boolean {
    const result = results.get(handle);
    if (result === undefined) return false;
    resultBytes -= result.bytes;
    return results.delete(handle);
  }

  /**
   * Results are added in the order of their expiry, as a configuration gives all the same lifetime.
   * After a change to a shorter one, those of the change count until the ones before have expired.
   */
  function removeExpired(): void {
    const now = clock.now();
    for (const [handle, { expiresAt }] of results) {
      if (expiresAt > now) return;
      removeResult(handle);
    }
  }

  return {
    server: () => server,
    setServer(next) {
      server = next;
    },
    running: () => running,
    slowness: () => (speed.isReporting() ? speed.slowness() : slowness),
    usualSlowness: () => (speed.isReporting() ? speed.usualSlowness() : 1),
    maxPieces: () => ramps.findAllowance(server.serverId),
    isBackingOff: () => clock.now() < backoffUntil,
    freeBytes({ resultMemoryBytes, resultTtlMs }) {
      removeExpired();
      const unknownBytes = unknownResults.estimateBytes(resultTtlMs);
      return resultMemoryBytes - reservedBytes - resultBytes - unknownBytes;
    },
    startCall(bytes) {
      running += 1;
      reservedBytes += bytes;
    },
    endCall(bytes) {
      running -= 1;
      reservedBytes -= bytes;
    },
    recordSuccess(measuredMs, expectedMs, slowdown) {
      consecutiveFailures = 0;
      const sentAt = clock.now() - measuredMs;
      const ratio = measuredMs / expectedMs / speed.ownSlowness();
      ramps.record(server.serverId, { kind: 'answer', sentAt, slowness: ratio, hasQueue: false });
      speed.recordSlowdown(slowdown);
      speed.recordCall(measuredMs / expectedMs, clock.now() - measuredMs);
      slowness += SLOWNESS_WEIGHT * (measuredMs / expectedMs - slowness);
    },
    recordFailure(sentAt) {
      ramps.record(server.serverId, { kind: 'failure', sentAt });
      backoffUntil =
        clock.now() + Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** consecutiveFailures);
      consecutiveFailures += 1;
    },
    recordFull(rejection) {
      if (rejection !== undefined) {
        ramps.record(server.serverId, { kind: 'rejection', sentAt: rejection.sentAt });
        speed.recordSlowdown(rejection.slowdown);
      }
      backoffUntil = clock.now() + FULL_BACKOFF_MS;
    },
    recordForeignCall: ({ resultMemoryBytes }) =>
      unknownResults.setBytes(resultMemoryBytes * FOREIGN_MEMORY_SHARE),
    recordRefused({ resultMemoryBytes }) {
      removeExpired();
      unknownResults.setBytes(resultMemoryBytes - reservedBytes - resultBytes);
    },
    addResult(handle, bytes, ttlMs) {
      removeResult(handle);
      lastResultBytes = bytes;
      results.set(handle, { bytes, expiresAt: clock.now() + ttlMs });
      resultBytes += bytes;
    },
    removeResult(handle) {
      if (removeResult(handle)) return true;
      unknownResults.removeResult(lastResultBytes);
      return false;
    },
  };
}

/**
 * Orders replicas that get their normal work before those that are ramping.
 *
 * @param first - a replica
 * @param second - another one
 * @returns a number as `sort` takes it
 * @internal
 */
export const compareRamping = (first: ReplicaState, second: ReplicaState) =>
  Number(first.maxPieces() < Infinity) - Number(second.maxPieces() < Infinity);

/** The replicas of one pool. @public */
export interface ReplicaStates {
  /** Applies a server list; servers that keep their address keep their state. */
  update(servers: readonly ListedServer[]): void;
  readonly list: () => readonly ReplicaState[];
  /** Lists the replicas that are neither leaving, nor evacuated, nor backing off. */
  readonly listUsable: () => readonly ReplicaState[];
  find(serverId: BackendServerId): ReplicaState | undefined;
}

/**
 * Creates an empty set of replica states.
 *
 * @param clock - clock for backoff times and the expiry of results
 * @param ramps - ramps of the replicas; by default none is active
 * @returns the replica states
 * @public
 */
export function createReplicaStates(clock: Clock, ramps: ReplicaRamps = noRamps): ReplicaStates {
  const states = new Map<BackendServerId, ReplicaState>();
  return {
    update(servers) {
      const listed = new Map(servers.map((server) => [server.serverId, server]));
      for (const [serverId, state] of states) {
        if (listed.get(serverId)?.address !== state.server().address) states.delete(serverId);
      }
      for (const [serverId, server] of listed) {
        const state = states.get(serverId);
        if (state === undefined) states.set(serverId, createReplicaState(server, clock, ramps));
        else state.setServer(server);
      }
    },
    list: () => [...states.values()],
    listUsable: () =>
      [...states.values()].filter((state) => {
        const { isLeaving, isEvacuated = false } = state.server();
        return !isLeaving && !isEvacuated && !state.isBackingOff();
      }),
    find: (serverId) => states.get(serverId),
  };
}
