import type { BackendServerId, Clock } from '@endiveferry/base';

import type { ListedServer, StageCapacity } from '../RelayConfiguration.js';

/** Weight of the newest call in a replica's slowness. */
const SLOWNESS_WEIGHT = 0.4;
/** The first time out after a call that failed or was never answered, in milliseconds. */
const FIRST_REST_MS = 600;
const MAX_REST_MS = 5_000;
/** Time out of a replica that had no room or no free slot, in milliseconds. */
const FULL_REST_MS = 60;

/** What the dispatcher knows of one replica. @public */
export interface ReplicaState {
  readonly server: () => ListedServer;
  /** Takes over what the list says of the replica now. */
  setServer(server: ListedServer): void;
  readonly running: () => number;
  readonly slowness: () => number;
  readonly isResting: () => boolean;
  /** Room that is left, in bytes. */
  readonly freeBytes: (capacity: StageCapacity) => number;
  /** Notes a call that takes room from now on. */
  startCall(bytes: number): void;
  /** Notes the end of a call that took `bytes`. */
  endCall(bytes: number): void;
  recordSuccess(measuredMs: number, expectedMs: number): void;
  /** The call failed or was never answered. */
  recordFailure(): void;
  /** The replica had no slot or no room. */
  recordFull(): void;
  addResult(handle: string, bytes: number, ttlMs: number): void;
  /** Whether the result was known. */
  removeResult(handle: string): boolean;
}

function createReplicaState(first: ListedServer, clock: Clock): ReplicaState {
  let server = first;
  const results = new Map<string, { readonly bytes: number; readonly expiresAt: number }>();
  let running = 0;
  let reservedBytes = 0;
  let slowness = 1;
  let restsUntil = 0;
  let failuresInRow = 0;

  function sumResults(): number {
    let bytes = 0;
    for (const [handle, result] of results) {
      if (result.expiresAt <= clock.now()) results.delete(handle);
      else bytes += result.bytes;
    }
    return bytes;
  }

  return {
    server: () => server,
    setServer(next) {
      server = next;
    },
    running: () => running,
    slowness: () => slowness,
    isResting: () => clock.now() < restsUntil,
    freeBytes: ({ resultMemoryBytes }) => resultMemoryBytes - reservedBytes - sumResults(),
    startCall(bytes) {
      running += 1;
      reservedBytes += bytes;
    },
    endCall(bytes) {
      running -= 1;
      reservedBytes -= bytes;
    },
    recordSuccess(measuredMs, expectedMs) {
      failuresInRow = 0;
      slowness += SLOWNESS_WEIGHT * (measuredMs / expectedMs - slowness);
    },
    recordFailure() {
      restsUntil = clock.now() + Math.min(MAX_REST_MS, FIRST_REST_MS * 2 ** failuresInRow);
      failuresInRow += 1;
    },
    recordFull() {
      restsUntil = clock.now() + FULL_REST_MS;
    },
    addResult(handle, bytes, ttlMs) {
      results.set(handle, { bytes, expiresAt: clock.now() + ttlMs });
    },
    removeResult: (handle) => results.delete(handle),
  };
}

/** The replicas of one pool. @public */
export interface ReplicaStates {
  /** Takes over the list; what is known of servers that stay is kept. */
  update(servers: readonly ListedServer[]): void;
  readonly list: () => readonly ReplicaState[];
  /** Replicas that neither leave nor rest. */
  readonly listUsable: () => readonly ReplicaState[];
  find(serverId: BackendServerId): ReplicaState | undefined;
}

/**
 * Creates the states of no replicas.
 *
 * @param clock - times rests and results
 * @returns the states
 * @public
 */
export function createReplicaStates(clock: Clock): ReplicaStates {
  const states = new Map<BackendServerId, ReplicaState>();
  return {
    update(servers) {
      const listed = new Map(servers.map((server) => [server.serverId, server]));
      for (const [serverId, state] of states) {
        if (listed.get(serverId)?.address !== state.server().address) states.delete(serverId);
      }
      for (const [serverId, server] of listed) {
        const known = states.get(serverId);
        if (known === undefined) states.set(serverId, createReplicaState(server, clock));
        else known.setServer(server);
      }
    },
    list: () => [...states.values()],
    listUsable: () =>
      [...states.values()].filter((state) => !state.server().isLeaving && !state.isResting()),
    find: (serverId) => states.get(serverId),
  };
}
