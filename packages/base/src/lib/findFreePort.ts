import { createServer } from 'node:net';

import type { Random } from './createRandom.js';

/** Ports that the kernel does not give to outgoing connections, which might take one between two uses. */
const FIRST_PORT = 10_000;
const PORTS = 20_000;
const ANY_ADDRESS = '0.0.0.0';

function canListen(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ANY_ADDRESS, () => server.close(() => resolve(true)));
  });
}

/**
 * Finds a port that nothing listens on, for hosts of tests that must know it before they listen.
 *
 * @param random - draws the port, so that tests that run beside each other differ
 * @returns the port, free on all addresses of this machine
 * @public
 */
export async function findFreePort(random: Random): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + random.nextInteger(PORTS);
    if (await canListen(port)) return port;
  }
}
