import type {
  AvailabilityZoneId,
  BackendServerId,
  Clock,
  HostId,
  Random,
  Supervisor,
} from '@endiveferry/base';
import type { Pool } from '@endiveferry/settings';
import type { Logger } from '@endiveferry/telemetry';

import type { ChoiceRequest } from './chooseServer.js';
import type { Call, CallResult } from './sendCall.js';

/**
 * Reservation of one backend server for one call.
 *
 * @public
 */
export interface ServerLease {
  readonly serverId: BackendServerId;
  send(call: Call): Promise<CallResult>;
  /** Ends the lease: the call succeeded after `serviceMs` milliseconds. */
  recordSuccess(serviceMs: number): void;
  /** Ends the lease: the server failed. */
  recordFailure(): void;
  /** Ends the lease: the server rejected the call for lack of free capacity. */
  recordOverload(): void;
  /** Ends the lease without an effect on health: the call was cancelled or itself invalid. */
  end(): void;
  /**
   * Probes the server over a new connection, for a call that gets no response. If the server is
   * alive, all its connections are replaced, since several of them may be half-open.
   */
  checkLiveness(): Promise<void>;
  /** Records the time to the first token of a generation, in milliseconds. */
  recordFirstToken(durationMs: number): void;
}

/**
 * Status of one backend server, for operators.
 *
 * @public
 */
export interface ServerStatus {
  readonly serverId: BackendServerId;
  readonly health: string;
  readonly isLeaving: boolean;
  readonly running: number;
  readonly load: number;
  readonly latencyMs: number | undefined;
}

/**
 * Chooses among a pool's backend servers and tracks their state.
 *
 * @public
 */
export interface PoolRouter {
  /** Applies new settings or a new list of hosts; running calls continue. */
  update(pool: Pool, hosts: readonly HostId[]): void;
  /** Marks the servers that are leaving according to the platform's list or another host. */
  setLeavingServers(serverIds: ReadonlySet<BackendServerId>): void;
  /** Applies the number of slots of each host, from which this host's own slots are computed. */
  setShares(shares: ReadonlyMap<HostId, number>): void;
  /** Reserves a server for a call; returns undefined if none is eligible. */
  reserve(request: ChoiceRequest): ServerLease | undefined;
  /** Returns whether {@link PoolRouter.reserve} would find a server; changes nothing. */
  hasServer(request: ChoiceRequest): boolean;
  /** Returns the number of calls that the entire pool can run concurrently, over all hosts. */
  readonly capacity: () => number;
  readonly listStatus: () => readonly ServerStatus[];
  /** Returns the models that a server reported; undefined before its first report. */
  getReportedModels(serverId: BackendServerId): readonly string[] | undefined;
  /** Sends a call, such as a placement order, without a lease; undefined for an unknown server. */
  sendTo(serverId: BackendServerId, call: Call): Promise<CallResult | undefined>;
  /** Lists the servers that are leaving only according to their own report or settings. */
  readonly listReportedLeavingServers: () => readonly BackendServerId[];
  /** Replaces all connections, which may have broken unnoticed during an event loop stall. */
  renewConnections(): void;
  close(): Promise<void>;
}

/**
 * Options of a pool router.
 *
 * @public
 */
export interface PoolRouterOptions {
  readonly pool: Pool;
  readonly hostId: HostId;
  readonly hosts: readonly HostId[];
  readonly availabilityZone: AvailabilityZoneId;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Runs the polling task of each backend server. */
  readonly supervisor: Supervisor;
}
