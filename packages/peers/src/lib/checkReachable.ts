import { connect } from 'node:net';

import { parseAddress } from '@endiveferry/settings';

/**
 * Checks whether a host accepts connections. Its operating system does that also while its process
 * is busy, but not after the process has ended, nor without power or behind a partition.
 *
 * @param address - `ip:port`
 * @param localIp - IP address to connect from
 * @param timeoutMs - time for the connection, in milliseconds
 * @returns whether the connection was opened in time; it is closed at once
 * @internal
 */
export function checkReachable(
  address: string,
  localIp: string,
  timeoutMs: number,
): Promise<boolean> {
  const { ip, port } = parseAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host: ip, port, localAddress: localIp, timeout: timeoutMs });
    const finish = (isReachable: boolean) => {
      socket.destroy();
      resolve(isReachable);
    };
    socket.once('connect', () => finish(true));
    socket.once('timeout', () => finish(false));
    socket.once('error', () => finish(false));
  });
}
