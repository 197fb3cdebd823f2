import { describeError, NO_LONGER_NEEDED, waitFor, type HostId } from '@endiveferry/base';
import { parseAddress } from '@endiveferry/settings';
import { err } from 'neverthrow';

import { createLinkStateMachine, type LinkStateMachine } from './createLinkStateMachine.js';
import { createPeerConnection, type PeerConnection } from './createPeerConnection.js';
import {
  startPeerListener,
  type HandleHostRequest,
  type PeerListener,
} from './startPeerListener.js';
import { createOnDemandConnections } from './createOnDemandConnections.js';
import { PROTOCOL_VERSION } from './messages.js';
import { openPeerSocket } from './openPeerSocket.js';
import type { PeerNetwork, PeerNetworkOptions } from './PeerNetwork.js';

/** Each of two linked hosts asks the other at this interval, so they exchange twice in it. */
const HEARTBEAT_INTERVAL_MS = 1_000;
const HEARTBEAT_TIMEOUT_MS = 1_000;
/** Heartbeats without an answer after which a link counts as dead, though its socket is open. */
const MAX_MISSED_HEARTBEATS = 2;
const CONNECT_TIMEOUT_MS = 1_000;
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 2_000;

interface Link<Beat> {
  readonly hostId: HostId;
  readonly machine: LinkStateMachine;
  connection: PeerConnection | undefined;
  lastHeartbeat: Beat | undefined;
  lastHeartbeatAt: number | undefined;
  /** Ends the wait before the next heartbeat. */
  wake: () => void;
  stop: () => Promise<void>;
}

/**
 * Starts listening for other hosts; links are opened by {@link PeerNetwork.setPeers}.
 *
 * @param options - see {@link PeerNetworkOptions}
 * @returns the network
 * @throws Error when the address cannot be used
 * @public
 */
export async function createPeerNetwork<Beat>(
  options: PeerNetworkOptions<Beat>,
): Promise<PeerNetwork<Beat>> {
  const { clock, random, logger, supervisor, codec } = options;
  const findHeartbeatIntervalMs = options.findHeartbeatIntervalMs ?? (() => HEARTBEAT_INTERVAL_MS);
  const links = new Map<HostId, Link<Beat>>();
  const spares = createOnDemandConnections(clock, openConnection);
  let closedBytes = 0;

  function receiveHeartbeat(hostId: HostId, body: unknown): void {
    options.onHeartbeat(hostId, codec.parse(body), undefined);
  }

  const handleRequest: HandleHostRequest = (hostId, kind, body) => {
    if (kind !== 'heartbeat') return options.handleRequest(hostId, kind, body);
    receiveHeartbeat(hostId, body);
    return Promise.resolve(codec.compact(options.buildHeartbeat()));
  };

  /** Opens a connection and greets the other side. */
  async function openConnection(hostId: HostId): Promise<PeerConnection> {
    const address = options.findAddress(hostId);
    if (address === undefined) throw new Error(`${hostId} has no address`);
    const socket = await openPeerSocket(hostId, address, {
      keys: options.keys(),
      localIp: parseAddress(options.address).ip,
      timeoutMs: CONNECT_TIMEOUT_MS,
    });
    const connection = createPeerConnection(
      socket,
      clock,
      (kind, body) => handleRequest(hostId, kind, body),
      options.keepaliveTimeoutMs,
    );
    void connection.closed.then(() => {
      closedBytes += connection.countBytes();
    });
    const hello = {
      version: PROTOCOL_VERSION,
      hostId: options.hostId,
      processId: options.processId,
    };
    const greeting = await connection.request('hello', hello, CONNECT_TIMEOUT_MS);
    if (greeting.isOk()) return connection;
    connection.destroy();
    throw new Error(`${hostId} did not greet back: ${greeting.error.detail}`);
  }

  async function exchangeHeartbeat(link: Link<Beat>, connection: PeerConnection): Promise<boolean> {
    const askedAt = clock.now();
    const reply = await connection.request(
      'heartbeat',
      codec.compact(options.buildHeartbeat()),
      HEARTBEAT_TIMEOUT_MS,
    );
    if (reply.isErr()) return false;
    const heartbeat = codec.parse(reply.value);
    link.lastHeartbeat = heartbeat;
    link.lastHeartbeatAt = clock.now();
    options.onHeartbeat(link.hostId, heartbeat, askedAt);
    return true;
  }

  /** Waits for the next heartbeat's time, or until there is news. */
  function waitForHeartbeat(link: Link<Beat>, signal: AbortSignal): Promise<void> {
    const wake = new AbortController();
    link.wake = () => wake.abort(NO_LONGER_NEEDED);
    const intervalMs = findHeartbeatIntervalMs() * (0.9 + random.nextFraction() * 0.2);
    return waitFor(clock, intervalMs, AbortSignal.any([signal, wake.signal]));
  }

  async function runHeartbeats(
    link: Link<Beat>,
    connection: PeerConnection,
    signal: AbortSignal,
  ): Promise<void> {
    let missed = 0;
    while (!signal.aborted && connection.isOpen() && missed < MAX_MISSED_HEARTBEATS) {
      const isAnswered = await exchangeHeartbeat(link, connection);
      missed = isAnswered ? 0 : missed + 1;
      link.machine.send(isAnswered ? 'answered' : 'missed');
      if (isAnswered) await waitForHeartbeat(link, signal);
    }
  }

  async function runLink(link: Link<Beat>, signal: AbortSignal): Promise<void> {
    for (let retryMs = FIRST_RETRY_MS; !signal.aborted;) {
      try {
        const connection = await openConnection(link.hostId);
        link.connection = connection;
        link.machine.send('opened');
        retryMs = FIRST_RETRY_MS;
        await runHeartbeats(link, connection, signal);
        connection.destroy();
      } catch (error) {
        logger.debug('no link to a host', { peer: link.hostId, error: describeError(error) });
      }
      link.connection = undefined;
      link.machine.send('closed');
      await waitFor(clock, random.nextFraction() * retryMs, signal);
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
      link.machine.send('retried');
    }
  }

  function addLink(hostId: HostId): void {
    const link: Link<Beat> = {
      hostId,
      machine: createLinkStateMachine((state, previous) => {
        const isNews = state === 'up' || previous === 'up' || previous === 'suspect';
        if (isNews) logger.info('link changed', { peer: hostId, state });
      }),
      connection: undefined,
      lastHeartbeat: undefined,
      lastHeartbeatAt: undefined,
      wake: () => undefined,
      stop: () => Promise.resolve(),
    };
    links.set(hostId, link);
    link.stop = supervisor.spawn(`link-${hostId}`, (signal) => runLink(link, signal));
  }

  const listener: PeerListener = await startPeerListener({ ...options, handleRequest });

  return {
    address: listener.address,
    setPeers(hostIds) {
      const wanted = new Set(hostIds);
      for (const [hostId, link] of links) {
        if (wanted.has(hostId)) continue;
        links.delete(hostId);
        void link.stop();
        link.connection?.destroy();
      }
      for (const hostId of wanted) {
        if (!links.has(hostId)) addLink(hostId);
      }
    },
    async request(hostId, kind, body, timeoutMs) {
      const link = links.get(hostId);
      if (link?.connection?.isOpen() === true && link.machine.current() === 'up') {
        return link.connection.request(kind, body, timeoutMs);
      }
      try {
        const connection = await spares.find(hostId);
        return await connection.request(kind, body, timeoutMs);
      } catch (error) {
        return err({ kind: 'not-sent', detail: describeError(error) });
      }
    },
    renewLinks() {
      for (const link of links.values()) link.connection?.destroy();
    },
    sendHeartbeats() {
      for (const link of links.values()) link.wake();
    },
    listLinks: () =>
      [...links.values()].map(({ hostId, machine, lastHeartbeat, lastHeartbeatAt }) => ({
        hostId,
        state: machine.current(),
        lastHeartbeat,
        lastHeartbeatAt,
      })),
    countBytes: () =>
      [...links.values()].reduce(
        (sum, { connection }) => sum + (connection?.countBytes() ?? 0),
        closedBytes,
      ),
    reloadKeys: () => listener.reloadKeys(),
    async close() {
      for (const link of links.values()) {
        const stopped = link.stop();
        link.connection?.destroy();
        await stopped;
      }
      links.clear();
      spares.close();
      await listener.close();
    },
  };
}
