import type { Socket } from 'node:net';

import { describeError, type Clock, type HostId, type Random } from '@endiveferry/base';
import { createAnnouncer, type AcceptTunnel } from '@endiveferry/peers';
import type { ServerSocket } from '@endiveferry/routing';
import type { Logger } from '@endiveferry/telemetry';
import { z } from 'zod';

import { connectSocket } from '../servers/connectSocket.js';
import type { Fleet } from '../fleet/createFleet.js';
import { createTunnelSocket } from './createTunnelSocket.js';
import { joinSockets } from './joinSockets.js';
import { STOP_FRAME, TUNNEL_FRAMES } from './tunnelFrames.js';

/** Time that a host has to connect to a server for another one, in milliseconds. */
const CONNECT_TIMEOUT_MS = 250;
/** Time until a host replies, in milliseconds. */
const REPLY_TIMEOUT_MS = 500;
const MAX_TRIED_HOSTS = 3;
/** Tunnels that a host carries; each takes two descriptors. */
const MAX_TUNNELS = 300;

/** Hosts of builds without frames neither ask for them nor promise them. */
const framesSchema = z.literal(TUNNEL_FRAMES);

const tunnelRequestSchema = z.object({ address: z.string(), frames: framesSchema });

const tunnelReplySchema = z.object({
  /**
   * - `open`: the connection carries the bytes of the tunnel from now on.
   * - `refused`: the server refused the connection, so it has ended.
   * - `unreachable`: this host does not reach the server, or carries no more tunnels.
   */
  outcome: z.enum(['open', 'refused', 'unreachable']),
  detail: z.string(),
  frames: framesSchema,
});

type TunnelOutcome = z.infer<typeof tunnelReplySchema>['outcome'];

/** Connections to backend servers through other hosts, and for them. @public */
export interface Tunnels {
  /** Opens a connection to a server through another host; rejects when none reaches it. */
  open(address: string): Promise<ServerSocket>;
  /** Opens a connection to a server for another host; it never goes through a third one. */
  readonly accept: AcceptTunnel;
  /** Returns the number of tunnels that this host carries for others. */
  readonly countCarried: () => number;
  /** Whether this host carries tunnels to an address. */
  readonly isCarrying: (address: string) => boolean;
  /** Tells the hosts whose connections this host carries to use others for further calls. */
  announceStop(): void;
}

/** Options of {@link createTunnels}. @public */
export interface TunnelsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly findFleet: () => Pick<Fleet, 'listCarriers' | 'openTunnel'>;
  /** Whether an address is that of a listed server that takes new requests of this host. */
  readonly isListed: (address: string) => boolean;
  /** Whether this host carries tunnels to a server. */
  readonly mayCarry: (address: string) => boolean;
  /** Replaces the open connections to a server; running calls end on the old ones. */
  readonly renewConnections: (address: string) => void;
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
  const carriedPeers = new Set<Socket>();
  const addressesToRenew = new Set<string>();
  // Many connections lead to one server, and a stopping host tells so on each.
  const renewSoon = createAnnouncer(options.clock, renewConnections);
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

  function renewConnections(): void {
    const addresses = [...addressesToRenew];
    addressesToRenew.clear();
    for (const address of addresses) options.renewConnections(address);
  }

  function carry(peer: Socket, server: Socket, address: string, from: HostId): void {
    carriedPeers.add(peer);
    peer.once('close', () => carriedPeers.delete(peer));
    joinSockets(peer, server, (error) =>
      logger.info('a carried connection to a backend server failed', {
        peer: from,
        address,
        error: describeError(error),
      }),
    );
  }

  async function openThrough(hostId: HostId, address: string) {
    const { reply, connection } = await findFleet().openTunnel(
      hostId,
      { address, frames: TUNNEL_FRAMES },
      REPLY_TIMEOUT_MS,
    );
    const parsed = tunnelReplySchema.safeParse(reply);
    if (parsed.data?.outcome === 'open') {
      return createTunnelSocket(connection.detach(), () => {
        logger.info('the host that carries a connection to a backend server stops', {
          peer: hostId,
          address,
        });
        addressesToRenew.add(address);
        renewSoon();
      });
    }
    connection.destroy();
    return parsed.data?.outcome ?? 'unreachable';
  }

  const buildReply = (outcome: TunnelOutcome, detail: string) => ({
    reply: { outcome, detail, frames: TUNNEL_FRAMES },
  });

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
          ...buildReply('open', ''),
          attach: (peer) => carry(peer, server, address, from),
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
    announceStop() {
      // Nothing may follow the mark of the end.
      for (const peer of carriedPeers) if (peer.writable) peer.write(STOP_FRAME);
    },
  };
}
