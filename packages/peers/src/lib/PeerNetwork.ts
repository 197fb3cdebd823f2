import type { Clock, HostId, ProcessId, Random, Supervisor } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';
import type { Result } from 'neverthrow';

import type { LinkState } from './createLinkStateMachine.js';
import type { PeerFailure } from './createPeerConnection.js';
import type { HandleHostRequest } from './startPeerListener.js';
import type { HeartbeatCodec, PeerRequestKind } from './messages.js';
import type { TlsKeys } from './openPeerSocket.js';

/**
 * What operators see of a link.
 *
 * @public
 */
export interface LinkStatus<Beat> {
  readonly hostId: HostId;
  readonly state: LinkState;
  readonly lastHeartbeat: Beat | undefined;
  /** Monotonic time of the last heartbeat that was answered, in milliseconds. */
  readonly lastHeartbeatAt: number | undefined;
}

/**
 * Options of the network of hosts.
 *
 * @public
 */
export interface PeerNetworkOptions<Beat> {
  readonly hostId: HostId;
  readonly processId: ProcessId;
  readonly address: string;
  readonly keys: () => TlsKeys | undefined;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
  readonly findAddress: (hostId: HostId) => string | undefined;
  readonly isListed: (hostId: HostId) => boolean;
  readonly codec: HeartbeatCodec<Beat>;
  /** Time between two heartbeats of this host over one link, in milliseconds. */
  readonly findHeartbeatIntervalMs?: () => number;
  /**
   * A connection with requests in progress is given up after so long without a sign of life, in
   * milliseconds; undefined leaves that to the time limits of requests and to heartbeats.
   */
  readonly keepaliveTimeoutMs?: number;
  readonly buildHeartbeat: () => Beat;
  /**
   * Takes a heartbeat of another host. `askedAt` is the monotonic time at which this host asked for
   * it, so that what it says of ages holds from then on; undefined when the other host sent it unasked.
   */
  readonly onHeartbeat: (hostId: HostId, heartbeat: Beat, askedAt: number | undefined) => void;
  /** Does what other hosts ask, heartbeats and greetings excepted. */
  readonly handleRequest: HandleHostRequest;
}

/**
 * The links of this host to others.
 *
 * @public
 */
export interface PeerNetwork<Beat> {
  readonly address: string;
  /** Keeps links to these hosts, and to no others. */
  setPeers(hostIds: readonly HostId[]): void;
  /** Asks another host, over its link or over a connection opened for it. */
  request(
    hostId: HostId,
    kind: PeerRequestKind,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerFailure>>;
  /** Closes all links, to open new ones; this process stood still and cannot trust them. */
  renewLinks(): void;
  /** Sends heartbeats at once, because there is news. */
  sendHeartbeats(): void;
  readonly listLinks: () => readonly LinkStatus<Beat>[];
  /** Bytes sent and received on connections that this host opened. */
  readonly countBytes: () => number;
  reloadKeys(): void;
  close(): Promise<void>;
}
