import { createServer } from 'node:net';

import type { Random } from './createRandom.js';

/** Below the ephemeral range, so that no outgoing connection takes the port before it is used. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
const ALL_ADDRESSES = '0.0.0.0';

function canListen(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ALL_ADDRESSES, () => server.close(() => resolve(true)));
  });
}

/**
 * Finds a port that no process listens on, for test hosts whose port must be known in advance.
 *
 * @param random - chooses the ports to probe; concurrent tests pass different seeds
 * @returns a port that is free on all addresses of this machine
 * @public
 */
export async function findFreePort(random: Random): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + random.nextInteger(PORT_COUNT);
    if (await canListen(port)) return port;
  }
}
