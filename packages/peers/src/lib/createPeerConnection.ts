import type { Socket } from 'node:net';

import { describeError, type Clock } from '@endiveferry/base';
import { Decoder, Encoder } from 'cbor-x';
import { err, ok, type Result } from 'neverthrow';

import { createKeepaliveMonitor } from './createKeepaliveMonitor.js';
import { peerMessageSchema, type PeerMessage, type PeerRequestKind } from './messages.js';

const LENGTH_BYTES = 4;
/** Longest message, in bytes; a configuration may take up a few megabytes. */
const MAX_MESSAGE_BYTES = 32_000_000;

/**
 * Why a request to another host brought no reply.
 *
 * - `not-sent`: it never left this process.
 * - `refused`: the other host did not do it, and says so.
 * - `unknown`: it may or may not have been done.
 *
 * @public
 */
export interface PeerFailure {
  readonly kind: 'not-sent' | 'refused' | 'unknown';
  readonly detail: string;
}

/** Does what another host asks; what it throws is sent back as a refusal. @public */
export type HandlePeerRequest = (kind: PeerRequestKind, body: unknown) => Promise<unknown>;

/**
 * A connection to another host, on which both sides may ask.
 *
 * @public
 */
export interface PeerConnection {
  request(
    kind: PeerRequestKind,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerFailure>>;
  readonly isOpen: () => boolean;
  /** Ends the connection at once; requests without a reply have an unknown outcome. */
  destroy(): void;
  /** Resolves when the connection has ended. */
  readonly closed: Promise<void>;
  /** Bytes sent and received. */
  readonly countBytes: () => number;
}

interface PendingRequest {
  readonly finish: (result: Result<unknown, PeerFailure>) => void;
}

/** Cuts a byte stream into length-prefixed messages. */
function createFrameReader(onFrame: (frame: Buffer) => void) {
  let buffered: Buffer = Buffer.alloc(0);
  return (chunk: Buffer): boolean => {
    buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
    while (buffered.length >= LENGTH_BYTES) {
      const length = buffered.readUInt32BE(0);
      if (length > MAX_MESSAGE_BYTES) return false;
      if (buffered.length < LENGTH_BYTES + length) break;
      onFrame(buffered.subarray(LENGTH_BYTES, LENGTH_BYTES + length));
      buffered = buffered.subarray(LENGTH_BYTES + length);
    }
    return true;
  };
}

/**
 * Creates a connection on an open socket.
 *
 * @param socket - the socket, plain or TLS
 * @param clock - times requests out
 * @param handleRequest - does what the other side asks
 * @param silenceMs - a connection is given up when replies are due and nothing came for so long, in
 *   milliseconds; undefined leaves that to the time limits of requests
 * @returns the connection
 * @public
 */
export function createPeerConnection(
  socket: Socket,
  clock: Clock,
  handleRequest: HandlePeerRequest,
  silenceMs?: number,
): PeerConnection {
  const encoder = new Encoder({ useRecords: false });
  const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });
  const pending = new Map<number, PendingRequest>();
  let nextId = 1;
  const silence =
    silenceMs === undefined
      ? undefined
      : createKeepaliveMonitor(clock, silenceMs, {
          needsReplies: () => pending.size > 0,
          ask: () => send({ type: 'request', id: takeId(), kind: 'ping', body: {} }),
          close: () => socket.destroy(new Error(`the other host was silent for ${silenceMs} ms`)),
        });

  function takeId(): number {
    nextId += 1;
    return nextId;
  }

  function send(message: PeerMessage): void {
    if (!socket.writable) return;
    const payload = encoder.encode(message);
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(payload.length);
    socket.cork();
    socket.write(length);
    socket.write(payload);
    socket.uncork();
  }

  async function answer(id: number, kind: PeerRequestKind, body: unknown): Promise<void> {
    try {
      // A ping asks only whether anybody answers.
      send({ type: 'reply', id, body: kind === 'ping' ? true : await handleRequest(kind, body) });
    } catch (error) {
      send({ type: 'refusal', id, detail: describeError(error) });
    }
  }

  const messageHandlers: {
    [Type in PeerMessage['type']]: (message: Extract<PeerMessage, { type: Type }>) => void;
  } = {
    request: ({ id, kind, body }) => void answer(id, kind, body),
    reply: ({ id, body }) => pending.get(id)?.finish(ok(body)),
    refusal: ({ id, detail }) => pending.get(id)?.finish(err({ kind: 'refused', detail })),
  };

  function handleFrame(frame: Buffer): void {
    const message = peerMessageSchema.safeParse(decoder.decode(frame));
    if (!message.success) {
      socket.destroy(new Error('the other host sent a malformed message'));
      return;
    }
    const handle = messageHandlers[message.data.type] as (message: PeerMessage) => void;
    handle(message.data);
  }

  const readFrames = createFrameReader(handleFrame);
  socket.setNoDelay(true);
  socket.on('data', (chunk: Buffer) => {
    silence?.noteHeard();
    try {
      if (!readFrames(chunk)) socket.destroy(new Error('the other host sent too long a message'));
    } catch (error) {
      socket.destroy(new Error(`the other host sent no CBOR: ${describeError(error)}`));
    }
  });
  const closed = new Promise<void>((resolve) => {
    socket.on('error', () => undefined);
    socket.on('close', () => {
      silence?.stop();
      for (const { finish } of [...pending.values()]) {
        finish(err({ kind: 'unknown', detail: 'the connection ended before the reply' }));
      }
      resolve();
    });
  });

  return {
    request(kind, body, timeoutMs) {
      if (!socket.writable) {
        return Promise.resolve(err({ kind: 'not-sent', detail: 'the connection has ended' }));
      }
      return new Promise((resolve) => {
        const id = takeId();
        const finish = (result: Result<unknown, PeerFailure>) => {
          cancelTimer();
          pending.delete(id);
          resolve(result);
        };
        const cancelTimer = clock.schedule(timeoutMs, () =>
          finish(err({ kind: 'unknown', detail: `no reply within ${timeoutMs} ms` })),
        );
        pending.set(id, { finish });
        silence?.start();
        send({ type: 'request', id, kind, body });
      });
    },
    isOpen: () => socket.writable,
    destroy: () => socket.destroy(),
    closed,
    countBytes: () => socket.bytesRead + socket.bytesWritten,
  };
}
