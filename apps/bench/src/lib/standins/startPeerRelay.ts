import { connect, createServer, type Socket } from 'node:net';

import { parseAddress } from '@endiveferry/settings';

/**
 * TCP relay in front of one host that can drop the traffic of chosen origins without closing
 * their connections.
 *
 * @public
 */
export interface PeerRelay {
  /**
   * Drops all further traffic on open connections from origins that `isPartitioned` selects. A
   * connection whose traffic has been dropped once never recovers.
   */
  applyPartition(): void;
  /** Stops listening and closes all connections. */
  close(): Promise<void>;
}

/**
 * Starts a relay in front of a host's peer listener.
 *
 * @param address - address on which the relay listens, `ip:port`
 * @param target - address of the host's peer listener, `ip:port`
 * @param isPartitioned - whether traffic from an IP address is dropped now
 * @returns the running relay
 * @throws Error when the relay cannot listen on its address
 * @public
 */
export async function startPeerRelay(
  address: string,
  target: string,
  isPartitioned: (fromIp: string) => boolean,
): Promise<PeerRelay> {
  const sockets = new Map<
    Socket,
    { readonly fromIp: string; readonly upstream: Socket | undefined }
  >();

  function blackhole(client: Socket, upstream: Socket | undefined): void {
    for (const end of [client, upstream]) {
      end?.unpipe();
      end?.pause();
    }
  }

  const server = createServer((client) => {
    const fromIp = client.remoteAddress ?? '';
    client.on('error', () => undefined);
    client.once('close', () => sockets.delete(client));
    if (isPartitioned(fromIp)) {
      sockets.set(client, { fromIp, upstream: undefined });
      return;
    }
    const { ip, port } = parseAddress(target);
    const upstream = connect({ host: ip, port });
    upstream.on('error', () => client.destroy());
    upstream.once('close', () => client.destroy());
    client.once('close', () => upstream.destroy());
    sockets.set(client, { fromIp, upstream });
    client.pipe(upstream);
    upstream.pipe(client);
  });
  const { ip, port } = parseAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
  });
  return {
    applyPartition() {
      for (const [client, { fromIp, upstream }] of sockets)
        if (isPartitioned(fromIp)) blackhole(client, upstream);
    },
    async close() {
      const closed = new Promise<void>((resolve) => server.close(() => resolve()));
      for (const [client, { upstream }] of sockets) {
        client.destroy();
        upstream?.destroy();
      }
      await closed;
    },
  };
}
