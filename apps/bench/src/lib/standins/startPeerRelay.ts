import { connect, createServer, type Socket } from 'node:net';

import { parseAddress } from '@endiveferry/settings';

/**
 * A path to one host that can lose connections of chosen origin without a word.
 *
 * @public
 */
export interface PeerRelay {
  /** Swallows everything from origins for which `isCut` now holds, and lets others through. */
  applyCuts(): void;
  close(): Promise<void>;
}

/**
 * Starts a relay before a host's peer listener.
 *
 * @param address - where the relay listens, `ip:port`
 * @param target - the host's own address
 * @param isCut - whether the path from an IP number is cut now
 * @returns the relay
 * @public
 */
export async function startPeerRelay(
  address: string,
  target: string,
  isCut: (fromIp: string) => boolean,
): Promise<PeerRelay> {
  const sockets = new Map<
    Socket,
    { readonly fromIp: string; readonly outer: Socket | undefined }
  >();

  function silence(socket: Socket, outer: Socket | undefined): void {
    for (const each of [socket, outer]) {
      each?.unpipe();
      each?.pause();
    }
  }

  const server = createServer((inner) => {
    const fromIp = inner.remoteAddress ?? '';
    inner.on('error', () => undefined);
    inner.once('close', () => sockets.delete(inner));
    if (isCut(fromIp)) {
      sockets.set(inner, { fromIp, outer: undefined });
      return;
    }
    const { ip, port } = parseAddress(target);
    const outer = connect({ host: ip, port });
    outer.on('error', () => inner.destroy());
    outer.once('close', () => inner.destroy());
    inner.once('close', () => outer.destroy());
    sockets.set(inner, { fromIp, outer });
    inner.pipe(outer);
    outer.pipe(inner);
  });
  const { ip, port } = parseAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
  });
  return {
    applyCuts() {
      for (const [inner, { fromIp, outer }] of sockets) if (isCut(fromIp)) silence(inner, outer);
    },
    async close() {
      const closed = new Promise<void>((resolve) => server.close(() => resolve()));
      for (const [inner, { outer }] of sockets) {
        inner.destroy();
        outer?.destroy();
      }
      await closed;
    },
  };
}
