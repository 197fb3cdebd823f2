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
 * The use of one backend server for one call.
 *
 * @public
 */
export interface ServerLease {
  readonly serverId: BackendServerId;
  send(call: Call): Promise<CallResult>;
  /** Ends the lease: the call was answered after `serviceMs` milliseconds. */
  recordSuccess(serviceMs: number): void;
  /** Ends the lease: the server failed. */
  recordFailure(): void;
  /** Ends the lease: the server had no room, or took far too long. */
  recordOverload(): void;
  /** Ends the lease without a word on the server: the call was cancelled or the caller's fault. */
  end(): void;
  /**
   * Asks the server over a new connection whether it is alive, because the call is not answered.
   * If it is, its connections are replaced, since the silent one may not be alone.
   */
  checkLiveness(): Promise<void>;
  /** Notes how long a generation took to its first token, in milliseconds. */
  recordFirstToken(durationMs: number): void;
}

/**
 * What is known of one backend server, for operators.
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
 * Chooses among a pool's backend servers and keeps what is known of them.
 *
 * @public
 */
export interface PoolRouter {
  /** Takes over new settings or a new list of hosts; running calls go on. */
  update(pool: Pool, hosts: readonly HostId[]): void;
  /** Marks servers that the platform's list, or another host, says are leaving. */
  setLeaving(serverIds: ReadonlySet<BackendServerId>): void;
  /** Takes over the slots that each host is due, to find which ones are this host's own. */
  setShares(shares: ReadonlyMap<HostId, number>): void;
  /** Chooses a server for a call; undefined when none may be used. */
  reserve(request: ChoiceRequest): ServerLease | undefined;
  /** Calls that the whole pool can run at once, over all hosts. */
  readonly capacity: () => number;
  readonly listStatus: () => readonly ServerStatus[];
  /** The models that a server reported; undefined before its first report. */
  findReportedModels(serverId: BackendServerId): readonly string[] | undefined;
  /** Sends a call outside any lease, such as an order; undefined for an unknown server. */
  sendTo(serverId: BackendServerId, call: Call): Promise<CallResult | undefined>;
  /** Servers that said themselves that they leave. */
  readonly listReportedLeaving: () => readonly BackendServerId[];
  /** Replaces all connections, because this process stood still and cannot trust them. */
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
  /** Runs the task of each backend server. */
  readonly supervisor: Supervisor;
}
