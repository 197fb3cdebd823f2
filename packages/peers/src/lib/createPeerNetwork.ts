import {
  createMemoryBudget,
  describeError,
  isAborted,
  waitFor,
  type HostId,
} from '@endiveferry/base';
import { parseAddress } from '@endiveferry/settings';
import { err } from 'neverthrow';

import { MAX_MESSAGE_BYTES } from './createFrameReader.js';
import { createLinkStateMachine, type LinkStateMachine } from './createLinkStateMachine.js';
import { createOnDemandConnections } from './createOnDemandConnections.js';
import { createPeerConnection, type PeerConnection } from './createPeerConnection.js';
import { PROTOCOL_VERSION } from './messages.js';
import { openPeerSocket } from './openPeerSocket.js';
import type { PeerNetwork, PeerNetworkOptions } from './PeerNetwork.js';
import {
  startPeerListener,
  type HandleHostRequest,
  type PeerListener,
} from './startPeerListener.js';

/** Interval at which each of two linked hosts sends; they exchange two heartbeats in it. */
const HEARTBEAT_INTERVAL_MS = 1_000;
const HEARTBEAT_TIMEOUT_MS = 1_000;
/** Consecutive heartbeats without a reply until a link is closed, even if its socket is open. */
const MAX_MISSED_HEARTBEATS = 2;
const CONNECT_TIMEOUT_MS = 1_000;
const INITIAL_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 2_000;

interface Link<HeartbeatBody> {
  readonly hostId: HostId;
  readonly machine: LinkStateMachine;
  connection: PeerConnection | undefined;
  lastHeartbeat: HeartbeatBody | undefined;
  lastHeartbeatAt: number | undefined;
  /** Sends the next heartbeat at once. */
  wake: () => void;
  stop: () => Promise<void>;
}

/**
 * Starts a peer network that listens for other hosts; {@link PeerNetwork.setPeers} opens links.
 *
 * @param options - see {@link PeerNetworkOptions}
 * @returns the network
 * @throws Error when the address cannot be bound
 * @public
 */
export async function createPeerNetwork<HeartbeatBody>(
  options: PeerNetworkOptions<HeartbeatBody>,
): Promise<PeerNetwork<HeartbeatBody>> {
  const { clock, random, logger, supervisor, codec } = options;
  const getHeartbeatIntervalMs = options.getHeartbeatIntervalMs ?? (() => HEARTBEAT_INTERVAL_MS);
  const links = new Map<HostId, Link<HeartbeatBody>>();
  const onDemandConnections = createOnDemandConnections(clock, openConnection);
  let bytesOfClosedConnections = 0;

  function receiveHeartbeat(hostId: HostId, body: unknown): void {
    options.onHeartbeat(hostId, codec.parse(body), undefined);
  }

  const handleRequest: HandleHostRequest = (hostId, kind, body, signal) => {
    if (kind !== 'heartbeat') return options.handleRequest(hostId, kind, body, signal);
    receiveHeartbeat(hostId, body);
    return Promise.resolve(codec.compact(options.buildHeartbeat()));
  };

  const budget = createMemoryBudget(MAX_MESSAGE_BYTES);

  /** Opens a connection and performs the hello exchange. */
  async function openConnection(hostId: HostId): Promise<PeerConnection> {
    const address = options.findAddress(hostId);
    if (address === undefined) throw new Error(`no address known for ${hostId}`);
    const socket = await openPeerSocket(hostId, address, {
      keys: options.keys(),
      localIp: parseAddress(options.address).ip,
      timeoutMs: CONNECT_TIMEOUT_MS,
    });
    const connection = createPeerConnection(
      socket,
      clock,
      (kind, body, signal) => handleRequest(hostId, kind, body, signal),
      { keepaliveTimeoutMs: options.keepaliveTimeoutMs, budget },
    );
    void connection.closed.then(() => {
      bytesOfClosedConnections += connection.countBytes();
    });
    const hello = {
      version: PROTOCOL_VERSION,
      hostId: options.hostId,
      processId: options.processId,
    };
    const helloReply = await connection.request('hello', hello, CONNECT_TIMEOUT_MS);
    if (helloReply.isOk()) return connection;
    connection.destroy();
    throw new Error(`${hostId} did not accept the hello: ${helloReply.error.detail}`);
  }

  async function exchangeHeartbeat(
    link: Link<HeartbeatBody>,
    connection: PeerConnection,
  ): Promise<boolean> {
    const requestedAt = clock.now();
    const reply = await connection.request(
      'heartbeat',
      codec.compact(options.buildHeartbeat()),
      HEARTBEAT_TIMEOUT_MS,
    );
    if (reply.isErr()) return false;
    const heartbeat = codec.parse(reply.value);
    link.lastHeartbeat = heartbeat;
    link.lastHeartbeatAt = clock.now();
    options.onHeartbeat(link.hostId, heartbeat, requestedAt);
    return true;
  }

  /** Waits until the next heartbeat is due, or until `link.wake` is called. */
  function waitForHeartbeat(link: Link<HeartbeatBody>): Promise<void> {
    const intervalMs = getHeartbeatIntervalMs() * (0.9 + random.nextFraction() * 0.2);
    return new Promise((resolve) => {
      const cancel = clock.schedule(intervalMs, resolve);
      link.wake = () => {
        cancel();
        resolve();
      };
    });
  }

  async function runHeartbeats(
    link: Link<HeartbeatBody>,
    connection: PeerConnection,
    signal: AbortSignal,
  ): Promise<void> {
    let missed = 0;
    while (!signal.aborted && connection.isOpen() && missed < MAX_MISSED_HEARTBEATS) {
      const isAnswered = await exchangeHeartbeat(link, connection);
      missed = isAnswered ? 0 : missed + 1;
      link.machine.send(isAnswered ? 'answered' : 'missed');
      if (isAnswered && !isAborted(signal)) await waitForHeartbeat(link);
    }
  }

  async function runLink(link: Link<HeartbeatBody>, signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => link.wake(), { once: true });
    for (let retryDelayMs = INITIAL_RETRY_DELAY_MS; !signal.aborted;) {
      try {
        const connection = await openConnection(link.hostId);
        link.connection = connection;
        link.machine.send('opened');
        retryDelayMs = INITIAL_RETRY_DELAY_MS;
        await runHeartbeats(link, connection, signal);
        connection.destroy();
      } catch (error) {
        logger.debug('link to peer failed', { peer: link.hostId, error: describeError(error) });
      }
      link.connection = undefined;
      link.machine.send('closed');
      await waitFor(clock, random.nextFraction() * retryDelayMs, signal);
      retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
      link.machine.send('retried');
    }
  }

  function addLink(hostId: HostId): void {
    const link: Link<HeartbeatBody> = {
      hostId,
      machine: createLinkStateMachine((state, previous) => {
        const isReported = state === 'up' || previous === 'up' || previous === 'suspect';
        if (isReported) logger.info('link changed', { peer: hostId, state });
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

  function findOpenLink(hostId: HostId): PeerConnection | undefined {
    const link = links.get(hostId);
    const isUsable = link?.connection?.isOpen() === true && link.machine.current() === 'up';
    return isUsable ? link.connection : undefined;
  }

  const listener: PeerListener = await startPeerListener({ ...options, handleRequest, budget });

  return {
    address: listener.address,
    setPeers(hostIds) {
      const desired = new Set(hostIds);
      for (const [hostId, link] of links) {
        if (desired.has(hostId)) continue;
        links.delete(hostId);
        void link.stop();
        link.connection?.destroy();
      }
      for (const hostId of desired) {
        if (!links.has(hostId)) addLink(hostId);
      }
    },
    async request(hostId, kind, body, timeoutMs) {
      const linked = findOpenLink(hostId);
      if (linked !== undefined) return linked.request(kind, body, timeoutMs);
      try {
        const connection = await onDemandConnections.get(hostId);
        return await connection.request(kind, body, timeoutMs);
      } catch (error) {
        return err({ kind: 'not-sent', detail: describeError(error) });
      }
    },
    notify(hostId, kind, body) {
      const linked = findOpenLink(hostId);
      if (linked !== undefined) {
        linked.notify(kind, body);
        return;
      }
      onDemandConnections.get(hostId).then(
        (connection) => connection.notify(kind, body),
        (error: unknown) =>
          logger.debug('notice to peer not sent', {
            peer: hostId,
            kind,
            error: describeError(error),
          }),
      );
    },
    async openTunnel(hostId, body, timeoutMs) {
      const connection = await openConnection(hostId);
      const reply = await connection.request('open-tunnel', body, timeoutMs);
      if (reply.isOk()) return { reply: reply.value, connection };
      connection.destroy();
      throw new Error(reply.error.detail);
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
        bytesOfClosedConnections,
      ),
    reloadKeys: () => listener.reloadKeys(),
    async close() {
      for (const link of links.values()) {
        const stopped = link.stop();
        link.connection?.destroy();
        await stopped;
      }
      links.clear();
      onDemandConnections.close();
      await listener.close();
    },
  };
}
