import type { Clock, HostId } from '@endiveferry/base';

import type { PeerConnection } from './createPeerConnection.js';

/** Time in which further requests to the same host use the connection, from its opening. */
const CONNECTION_LIFETIME_MS = 30_000;

/**
 * Connections to hosts without a usable link, opened when a request needs one.
 *
 * @internal
 */
export interface OnDemandConnections {
  /** Returns the open connection to a host, or opens one; rejects when that fails. */
  get(hostId: HostId): Promise<PeerConnection>;
  /** Closes all connections. */
  close(): void;
}

/**
 * Creates the set of on-demand connections, which is empty at first.
 *
 * @param clock - schedules the end of each connection
 * @param openConnection - opens a connection and performs the hello exchange
 * @returns the connections
 * @internal
 */
export function createOnDemandConnections(
  clock: Clock,
  openConnection: (hostId: HostId) => Promise<PeerConnection>,
): OnDemandConnections {
  const connections = new Map<HostId, Promise<PeerConnection>>();

  return {
    get(hostId) {
      const existing = connections.get(hostId);
      if (existing !== undefined) return existing;
      const opening = openConnection(hostId);
      connections.set(hostId, opening);
      const remove = () => {
        if (connections.get(hostId) === opening) connections.delete(hostId);
      };
      opening.then((connection) => {
        const cancelExpiry = clock.schedule(CONNECTION_LIFETIME_MS, () => {
          remove();
          connection.closeWhenIdle();
        });
        void connection.closed.then(() => {
          cancelExpiry();
          remove();
        });
      }, remove);
      return opening;
    },
    close() {
      for (const opening of connections.values()) {
        opening.then(
          (connection) => connection.destroy(),
          () => undefined,
        );
      }
    },
  };
}
