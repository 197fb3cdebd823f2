import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';

import type { ServerSocket } from '@endiveferry/routing';

import { createTunnelReader } from './tunnelFrames.js';

/**
 * Creates the socket of a connection to a server that another host carries. It ends only if the
 * server ended the connection; any other end, such as that of the other host, is an error, because
 * a response without a length would look complete.
 *
 * @param carrier - the paused connection to the other host
 * @param onStop - called when that host stops, so that no more calls use the socket
 * @returns the socket
 * @internal
 */
export function createTunnelSocket(carrier: Socket, onStop: () => void): ServerSocket {
  let bytesRead = 0;
  let hasEnded = false;
  const socket = new Duplex({
    allowHalfOpen: false,
    read: () => void carrier.resume(),
    write: (chunk: Buffer, _encoding, done) => void carrier.write(chunk, done),
    final: (done) => void carrier.end(done),
    destroy(error, done) {
      carrier.destroy();
      done(error);
    },
  });
  const readFrames = createTunnelReader({
    onBytes(bytes) {
      bytesRead += bytes.length;
      if (!socket.push(bytes)) carrier.pause();
    },
    onStop,
    onEnd() {
      hasEnded = true;
      socket.push(null);
    },
  });
  const fail = () => {
    if (!hasEnded) socket.destroy(new Error('the host that carried the connection closed it'));
  };
  carrier.on('data', readFrames);
  carrier.on('error', (error) => socket.destroy(error));
  carrier.on('end', fail);
  carrier.on('close', fail);
  return Object.defineProperties(socket, {
    bytesRead: { get: () => bytesRead },
    remoteAddress: { value: carrier.remoteAddress },
  }) as ServerSocket;
}
