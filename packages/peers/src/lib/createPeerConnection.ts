import { setMaxListeners } from 'node:events';
import type { Socket } from 'node:net';

import {
  describeError,
  guardListeners,
  NO_LONGER_NEEDED,
  type Clock,
  type MemoryBudget,
  type MemoryHolder,
} from '@endiveferry/base';
import { Decoder, Encoder } from 'cbor-x';
import { err, ok, type Result } from 'neverthrow';

import { createFrameReader, LENGTH_PREFIX_BYTES, MAX_MESSAGE_BYTES } from './createFrameReader.js';
import { createKeepaliveMonitor } from './createKeepaliveMonitor.js';
import { parsePeerMessage, type PeerMessage, type PeerRequestKind } from './messages.js';

/** Errors of a connection that the remote host has closed. */
const PEER_CLOSE_ERRORS: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE']);

/**
 * Failure of a request to another host.
 *
 * - `not-sent`: the request was not sent.
 * - `refused`: the remote host replied that it did not execute the request.
 * - `unknown`: the remote host may or may not have executed the request.
 *
 * @public
 */
export interface PeerFailure {
  readonly kind: 'not-sent' | 'refused' | 'unknown';
  readonly detail: string;
  /** Whether the remote host closed the connection, for example because its process ended. */
  readonly isClosedByPeer?: boolean;
  /**
   * Time from the request to the last data that the remote host sent on the connection, in
   * milliseconds; negative if none came after the request.
   */
  readonly answeredMs?: number;
}

/**
 * Handles a request of the remote host; a thrown error is sent back as a rejection. The signal
 * aborts when the connection closes, after which nobody can receive the reply.
 *
 * @public
 */
export type HandlePeerRequest = (
  kind: PeerRequestKind,
  body: unknown,
  signal: AbortSignal,
) => Promise<unknown>;

/**
 * A connection to another host, on which both sides can send requests.
 *
 * @public
 */
export interface PeerConnection {
  /** Sends a request; `timeoutMs` limits the wait for the reply, in milliseconds. */
  request(
    kind: PeerRequestKind,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerFailure>>;
  /** Sends a request without waiting for a reply; does nothing when the connection is closed. */
  notify(kind: PeerRequestKind, body: unknown): void;
  /**
   * Ends the exchange of messages and returns the socket, paused, for bytes of another protocol. No
   * request may be pending.
   */
  detach(): Socket;
  /** Returns whether requests can be sent. */
  readonly isOpen: () => boolean;
  /** Closes the connection once the pending requests have ended. */
  closeWhenIdle(): void;
  /** Closes the connection at once; pending requests fail with `unknown`. */
  destroy(): void;
  /** Resolves when the connection is closed. */
  readonly closed: Promise<void>;
  /** Returns the number of bytes sent and received. */
  readonly countBytes: () => number;
}

/** Options of {@link createPeerConnection}. @public */
export interface PeerConnectionOptions {
  /**
   * Time without received data after which a connection with pending requests is closed, in
   * milliseconds; undefined relies on the timeouts of requests alone.
   */
  readonly keepaliveTimeoutMs?: number | undefined;
  /** Memory for messages that arrive, shared with other connections. */
  readonly budget?: MemoryBudget;
  /** Returns the maximum length of the next message, in bytes. */
  readonly findMaxMessageBytes?: () => number;
  /** Called with the reason when the connection fails. */
  readonly onFailed?: (error: Error) => void;
}

interface PendingRequest {
  readonly sentAt: number;
  readonly finish: (result: Result<unknown, PeerFailure>) => void;
}

/**
 * Creates a connection on an open socket.
 *
 * @param socket - the socket, plain or TLS
 * @param clock - schedules request timeouts and keepalive checks
 * @param handleRequest - handles the requests of the remote host
 * @param options - see {@link PeerConnectionOptions}
 * @returns the connection
 * @public
 */
export function createPeerConnection(
  socket: Socket,
  clock: Clock,
  handleRequest: HandlePeerRequest,
  options: PeerConnectionOptions = {},
): PeerConnection {
  const { keepaliveTimeoutMs, budget, findMaxMessageBytes = () => MAX_MESSAGE_BYTES } = options;
  const encoder = new Encoder({ useRecords: false });
  const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });
  const pending = new Map<number, PendingRequest>();
  const disconnect = new AbortController();
  // Each request that is handled has a listener, and their number is not limited.
  setMaxListeners(0, disconnect.signal);
  let nextId = 1;
  let isClosing = false;
  let isClosedByPeer = false;
  let lastReceivedAt = clock.now();
  const keepalive =
    keepaliveTimeoutMs === undefined
      ? undefined
      : createKeepaliveMonitor(clock, keepaliveTimeoutMs, {
          hasPendingRequests: () => pending.size > 0,
          sendPing: () => send({ type: 'request', id: createId(), kind: 'ping', body: {} }),
          close: () => socket.destroy(new Error(`no data received for ${keepaliveTimeoutMs} ms`)),
        });

  function closeIfIdle(): void {
    if (pending.size === 0) socket.destroy();
  }

  function createId(): number {
    nextId += 1;
    return nextId;
  }

  function send(message: PeerMessage): void {
    if (!socket.writable) return;
    const payload = encoder.encode(message);
    const length = Buffer.alloc(LENGTH_PREFIX_BYTES);
    length.writeUInt32BE(payload.length);
    socket.cork();
    socket.write(length);
    socket.write(payload);
    socket.uncork();
  }

  async function handleRequestMessage(
    id: number,
    kind: PeerRequestKind,
    body: unknown,
    isNotice = false,
  ): Promise<void> {
    try {
      // A ping checks that this host responds, so it bypasses the request handler.
      const reply = kind === 'ping' || (await handleRequest(kind, body, disconnect.signal));
      if (!isNotice) send({ type: 'reply', id, body: reply });
    } catch (error) {
      send({ type: 'refusal', id, detail: describeError(error) });
    }
  }

  const messageHandlers: {
    [Type in PeerMessage['type']]: (message: Extract<PeerMessage, { type: Type }>) => void;
  } = {
    request: ({ id, kind, body, isNotice }) => void handleRequestMessage(id, kind, body, isNotice),
    reply: ({ id, body }) => pending.get(id)?.finish(ok(body)),
    refusal: ({ id, detail }) => pending.get(id)?.finish(err({ kind: 'refused', detail })),
  };

  function handleFrame(frame: Buffer): void {
    const message = parsePeerMessage(decoder.decode(frame));
    if (message === undefined) {
      socket.destroy(new Error('received a malformed message'));
      return;
    }
    const handle = messageHandlers[message.type] as (message: PeerMessage) => void;
    handle(message);
  }

  const holder: MemoryHolder = { abort: (reason) => socket.destroy(reason) };
  const readFrames = createFrameReader({
    onFrame: handleFrame,
    findMaxBytes: findMaxMessageBytes,
    onKept: (bytes) => budget?.set(holder, bytes),
  });
  socket.setNoDelay(true);
  guardListeners(socket, (error) => socket.destroy(error));
  const receive = (chunk: Buffer) => {
    lastReceivedAt = clock.now();
    keepalive?.recordReceived();
    try {
      if (!readFrames(chunk)) socket.destroy(new Error('received an oversized message'));
    } catch (error) {
      socket.destroy(new Error(`received invalid CBOR: ${describeError(error)}`));
    }
  };
  socket.on('data', receive);
  const closed = new Promise<void>((resolve) => {
    socket.on('end', () => (isClosedByPeer = true));
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (PEER_CLOSE_ERRORS.has(error.code ?? '')) isClosedByPeer = true;
      options.onFailed?.(error);
    });
    socket.on('close', () => {
      keepalive?.stop();
      budget?.release(holder);
      disconnect.abort(NO_LONGER_NEEDED);
      for (const { finish, sentAt } of [...pending.values()]) {
        const detail = 'the connection closed before the reply';
        const answeredMs = lastReceivedAt - sentAt;
        finish(err({ kind: 'unknown', detail, isClosedByPeer, answeredMs }));
      }
      resolve();
    });
  });

  return {
    request(kind, body, timeoutMs) {
      if (!socket.writable) {
        return Promise.resolve(err({ kind: 'not-sent', detail: 'the connection is closed' }));
      }
      return new Promise((resolve) => {
        const id = createId();
        const finish = (result: Result<unknown, PeerFailure>) => {
          cancelTimer();
          pending.delete(id);
          // Without it, each request would wake the process once more.
          if (pending.size === 0) keepalive?.stop();
          resolve(result);
          if (isClosing) closeIfIdle();
        };
        const cancelTimer = clock.schedule(timeoutMs, () =>
          finish(err({ kind: 'unknown', detail: `no reply within ${timeoutMs} ms` })),
        );
        pending.set(id, { finish, sentAt: clock.now() });
        keepalive?.start();
        send({ type: 'request', id, kind, body });
      });
    },
    notify(kind, body) {
      send({ type: 'request', id: createId(), kind, body, isNotice: true });
    },
    detach() {
      keepalive?.stop();
      socket.off('data', receive);
      budget?.release(holder);
      socket.pause();
      return socket;
    },
    isOpen: () => socket.writable,
    closeWhenIdle() {
      isClosing = true;
      closeIfIdle();
    },
    destroy: () => socket.destroy(),
    closed,
    countBytes: () => socket.bytesRead + socket.bytesWritten,
  };
}
