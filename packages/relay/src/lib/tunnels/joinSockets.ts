import type { Socket } from 'node:net';

import { buildFrameHead, END_FRAME } from './tunnelFrames.js';

/** Time after which a connection without data is probed, in milliseconds: its host may be gone. */
const KEEPALIVE_DELAY_MS = 5_000;

/**
 * Copies the bytes of two sockets to each other until one of them closes. The end of the server's
 * socket is marked for the peer: a response without a length is complete only if its server ended
 * it, while the peer's connection also ends with this process.
 *
 * @param peer - the connection to the host that uses the server; its bytes come unframed
 * @param server - the connection to the server
 * @param onError - called when the connection to the server fails
 * @internal
 */
export function joinSockets(peer: Socket, server: Socket, onError: (error: Error) => void): void {
  server.on('data', (chunk: Buffer) => {
    peer.cork();
    peer.write(buildFrameHead(chunk.length));
    const hasRoom = peer.write(chunk);
    peer.uncork();
    if (!hasRoom) server.pause();
  });
  peer.on('drain', () => server.resume());
  server.on('end', () => {
    // A reset that arrives with data is reported as an end, but has no remote address any more.
    if (server.remoteAddress !== undefined) peer.end(END_FRAME);
  });
  server.on('error', onError);
  server.on('close', () => peer.destroySoon());
  peer.on('close', () => server.destroy());
  for (const socket of [peer, server]) socket.setKeepAlive(true, KEEPALIVE_DELAY_MS);
  peer.pipe(server);
}
