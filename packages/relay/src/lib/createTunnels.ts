import type { Socket } from 'node:net';

import { describeError, type HostId, type Random } from '@endiveferry/base';
import type { AcceptTunnel } from '@endiveferry/peers';
import type { Logger } from '@endiveferry/telemetry';
import { z } from 'zod';

import { connectSocket } from './connectSocket.js';
import type { Fleet } from './createFleet.js';

/** Time that a host has to connect to a server for another one, in milliseconds. */
const CONNECT_TIMEOUT_MS = 250;
/** Time until a host replies, in milliseconds. */
const REPLY_TIMEOUT_MS = 500;
const MAX_TRIED_HOSTS = 3;
/** Tunnels that a host carries; each takes two descriptors. */
const MAX_TUNNELS = 300;
/** Time after which a connection without data is probed, in milliseconds: its host may be gone. */
const KEEPALIVE_DELAY_MS = 5_000;

const tunnelRequestSchema = z.object({ address: z.string() });

const tunnelReplySchema = z.object({
  /**
   * - `open`: the connection carries the bytes of the tunnel from now on.
   * - `refused`: the server refused the connection, so it has ended.
   * - `unreachable`: this host does not reach the server, or carries no more tunnels.
   */
  outcome: z.enum(['open', 'refused', 'unreachable']),
  detail: z.string(),
});

type TunnelOutcome = z.infer<typeof tunnelReplySchema>['outcome'];

/** Connections to backend servers through other hosts, and for them. @public */
export interface Tunnels {
  /** Opens a connection to a server through another host; rejects when none reaches it. */
  open(address: string): Promise<Socket>;
  /** Opens a connection to a server for another host; it never goes through a third one. */
  readonly accept: AcceptTunnel;
  /** Returns the number of tunnels that this host carries for others. */
  readonly countCarried: () => number;
  /** Whether this host carries tunnels to an address. */
  readonly isCarrying: (address: string) => boolean;
}

/** Options of {@link createTunnels}. @public */
export interface TunnelsOptions {
  readonly random: Random;
  readonly logger: Logger;
  readonly findFleet: () => Pick<Fleet, 'listCarriers' | 'openTunnel'>;
  /** Whether an address is that of a listed server that takes new requests of this host. */
  readonly isListed: (address: string) => boolean;
  /** Whether this host carries tunnels to a server. */
  readonly mayCarry: (address: string) => boolean;
}

/** Copies the bytes of two sockets to each other, and closes or resets both together. */
function joinSockets(peer: Socket, server: Socket): void {
  // A response without a length is complete only if its server ended it, so a reset is passed on. A
  // reset that arrives with data is reported as an end, but has no remote address any more.
  server.on('end', () => {
    if (server.remoteAddress === undefined) peer.resetAndDestroy();
  });
  server.on('error', () => peer.resetAndDestroy());
  server.on('close', () => peer.destroySoon());
  peer.on('close', () => server.destroy());
  for (const socket of [peer, server]) socket.setKeepAlive(true, KEEPALIVE_DELAY_MS);
  peer.pipe(server);
  server.pipe(peer);
}

const isRefusal = (error: unknown) =>
  error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';

/**
 * Creates the tunnels of a host, none at first.
 *
 * @param options - see {@link TunnelsOptions}
 * @returns the tunnels
 * @public
 */
export function createTunnels(options: TunnelsOptions): Tunnels {
  const { random, logger, findFleet } = options;
  let carried = 0;
  /** Open tunnels by the address that they lead to. */
  const openTunnels = new Map<string, number>();

  function addOpen(address: string, change: number): void {
    const open = (openTunnels.get(address) ?? 0) + change;
    if (open > 0) openTunnels.set(address, open);
    else openTunnels.delete(address);
  }

  /** Returns the hosts to ask, in random order, so that several hosts share the work. */
  function listCarriers(): readonly HostId[] {
    return findFleet()
      .listCarriers()
      .map((hostId) => ({ hostId, order: random.nextFraction() }))
      .sort((a, b) => a.order - b.order)
      .slice(0, MAX_TRIED_HOSTS)
      .map(({ hostId }) => hostId);
  }

  async function openThrough(hostId: HostId, address: string) {
    const { reply, connection } = await findFleet().openTunnel(
      hostId,
      { address },
      REPLY_TIMEOUT_MS,
    );
    const parsed = tunnelReplySchema.safeParse(reply);
    if (parsed.data?.outcome === 'open') return connection.detach();
    connection.destroy();
    return parsed.data?.outcome ?? 'unreachable';
  }

  const buildReply = (outcome: TunnelOutcome, detail: string) => ({ reply: { outcome, detail } });

  return {
    async open(address) {
      for (const hostId of listCarriers()) {
        try {
          const result = await openThrough(hostId, address);
          if (typeof result === 'object') return result;
          if (result === 'refused') break;
        } catch (error) {
          logger.info('a host did not open a connection to a backend server for this one', {
            peer: hostId,
            address,
            error: describeError(error),
          });
        }
      }
      throw new Error('no other host reaches the server');
    },
    async accept(from, body) {
      const { address } = tunnelRequestSchema.parse(body);
      if (!options.isListed(address)) return buildReply('unreachable', 'the server is not listed');
      if (!options.mayCarry(address) || carried >= MAX_TUNNELS)
        return buildReply('unreachable', `this host carries ${carried} connections`);
      carried += 1;
      try {
        const server = await connectSocket(address, CONNECT_TIMEOUT_MS);
        addOpen(address, 1);
        server.once('close', () => {
          carried -= 1;
          addOpen(address, -1);
        });
        return {
          reply: { outcome: 'open', detail: '' },
          attach: (peer) => joinSockets(peer, server),
        };
      } catch (error) {
        carried -= 1;
        logger.info('could not connect to a backend server for another host', {
          peer: from,
          address,
          error: describeError(error),
        });
        return buildReply(isRefusal(error) ? 'refused' : 'unreachable', describeError(error));
      }
    },
    countCarried: () => carried,
    isCarrying: (address) => openTunnels.has(address),
  };
}
