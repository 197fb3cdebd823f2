import type { Clock, HostId, ProcessId, Random, Supervisor } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';
import type { Result } from 'neverthrow';

import type { LinkState } from './createLinkStateMachine.js';
import type { PeerConnection, PeerFailure } from './createPeerConnection.js';
import type { HeartbeatCodec, PeerRequestKind } from './messages.js';
import type { TlsKeys } from './openPeerSocket.js';
import type { AcceptTunnel, HandleHostRequest } from './startPeerListener.js';

/**
 * Status of a link, as shown to operators.
 *
 * @public
 */
export interface LinkStatus<HeartbeatBody> {
  readonly hostId: HostId;
  readonly state: LinkState;
  /** Last heartbeat that the host sent in reply to one of this host. */
  readonly lastHeartbeat: HeartbeatBody | undefined;
  /** Monotonic time at which that heartbeat was received, in milliseconds. */
  readonly lastHeartbeatAt: number | undefined;
}

/**
 * Options of the peer network.
 *
 * @public
 */
export interface PeerNetworkOptions<HeartbeatBody> {
  readonly hostId: HostId;
  readonly processId: ProcessId;
  /** Address to listen on, `ip:port`; port 0 chooses a free port. */
  readonly address: string;
  /** Returns the current credentials for mutual TLS; undefined uses plain TCP. */
  readonly keys: () => TlsKeys | undefined;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
  /** Returns the address of a host, `ip:port`. */
  readonly findAddress: (hostId: HostId) => string | undefined;
  /** Returns whether a host is on the published host list. */
  readonly isListed: (hostId: HostId) => boolean;
  readonly codec: HeartbeatCodec<HeartbeatBody>;
  /** Returns the time between heartbeats that this host sends on a link, in milliseconds. */
  readonly getHeartbeatIntervalMs?: () => number;
  /**
   * Closes a connection with pending requests when nothing was received for this long, in
   * milliseconds; undefined relies on the timeouts of requests and on heartbeats.
   */
  readonly keepaliveTimeoutMs?: number;
  /** Returns the heartbeat to send now. */
  readonly buildHeartbeat: () => HeartbeatBody;
  /**
   * Called with each heartbeat of another host. `requestedAt` is the monotonic time in milliseconds
   * at which this host requested it; ages stated in the heartbeat count from then. It is undefined
   * when the other host initiated the exchange.
   */
  readonly onHeartbeat: (
    hostId: HostId,
    heartbeat: HeartbeatBody,
    requestedAt: number | undefined,
  ) => void;
  /** Handles the requests of other hosts other than `hello`, `ping` and `heartbeat`. */
  readonly handleRequest: HandleHostRequest;
  /** Answers requests for tunnels; undefined rejects them. */
  readonly acceptTunnel?: AcceptTunnel;
  /** Number of incoming connections that may wait for their hello at a time. */
  readonly maxUnidentified?: number | undefined;
}

/** The reply to a request for a tunnel. @public */
export interface TunnelReply {
  readonly reply: unknown;
  readonly connection: Pick<PeerConnection, 'detach' | 'destroy'>;
}

/**
 * The links of this host to other hosts.
 *
 * @public
 */
export interface PeerNetwork<HeartbeatBody> {
  /** Address in use, with the port that was assigned. */
  readonly address: string;
  /** Sets the hosts to keep links to; closes the links to all others. */
  setPeers(hostIds: readonly HostId[]): void;
  /** Sends a request to another host, over its link or else over an on-demand connection. */
  request(
    hostId: HostId,
    kind: PeerRequestKind,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerFailure>>;
  /**
   * Sends a request to another host for which no reply is needed, over its link or else over an
   * on-demand connection. It is lost when the host cannot be reached.
   */
  notify(hostId: HostId, kind: PeerRequestKind, body: unknown): void;
  /**
   * Asks another host for a tunnel, over a connection of its own.
   *
   * @returns the reply, and the connection that carries the tunnel if the reply says that it is open
   * @throws Error when the host sends no reply
   */
  openTunnel(hostId: HostId, body: unknown, timeoutMs: number): Promise<TunnelReply>;
  /** Closes and reopens all links, because they may be broken after a stall of this process. */
  renewLinks(): void;
  /** Sends heartbeats on all links at once, because the state of this host changed. */
  sendHeartbeats(): void;
  readonly listLinks: () => readonly LinkStatus<HeartbeatBody>[];
  /** Returns the number of bytes sent and received on connections that this host opened. */
  readonly countBytes: () => number;
  /** Applies the current TLS credentials to new incoming connections. */
  reloadKeys(): void;
  /** Closes all connections and stops listening. */
  close(): Promise<void>;
}
