import { connect, type Socket } from 'node:net';

import { parseAddress } from '@endiveferry/settings';

/**
 * Opens a TCP connection.
 *
 * @param address - `ip:port`
 * @param timeoutMs - timeout, in milliseconds
 * @returns the open socket
 * @throws Error when the connection is refused or not established in time
 * @internal
 */
export function connectSocket(address: string, timeoutMs: number): Promise<Socket> {
  const { ip, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    const socket = connect({ host: ip, port, noDelay: true });
    const timer = setTimeout(() => socket.destroy(new Error('connection timed out')), timeoutMs);
    socket.once('error', (error) => {
      clearTimeout(timer);
      reject(error);
    });
    socket.once('connect', () => {
      clearTimeout(timer);
      resolve(socket);
    });
  });
}
