import type { Clock, HostId } from '@endiveferry/base';

import type { PeerConnection } from './createPeerConnection.js';

/** A connection that was opened for one request is kept this long for the next. */
const SPARE_CONNECTION_MS = 30_000;

/**
 * Connections to hosts without a link, opened for single requests.
 *
 * @internal
 */
export interface OnDemandConnections {
  /** Finds or opens the connection to a host; rejects when it cannot be opened. */
  find(hostId: HostId): Promise<PeerConnection>;
  close(): void;
}

/**
 * Creates the connections; they open when first needed.
 *
 * @param clock - ends them
 * @param openConnection - opens one and greets the other side
 * @returns the connections
 * @internal
 */
export function createOnDemandConnections(
  clock: Clock,
  openConnection: (hostId: HostId) => Promise<PeerConnection>,
): OnDemandConnections {
  const spares = new Map<HostId, Promise<PeerConnection>>();

  return {
    find(hostId) {
      const known = spares.get(hostId);
      if (known !== undefined) return known;
      const opening = openConnection(hostId);
      spares.set(hostId, opening);
      const forget = () => {
        if (spares.get(hostId) === opening) spares.delete(hostId);
      };
      opening.then((connection) => {
        const cancelEnd = clock.schedule(SPARE_CONNECTION_MS, () => connection.destroy());
        void connection.closed.then(() => {
          cancelEnd();
          forget();
        });
      }, forget);
      return opening;
    },
    close() {
      for (const spare of spares.values()) {
        spare.then(
          (connection) => connection.destroy(),
          () => undefined,
        );
      }
    },
  };
}
