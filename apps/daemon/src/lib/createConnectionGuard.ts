import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { ReadPacer } from './createReadPacer.js';

/** Time that a caller has to read a response that has ended, in milliseconds. */
const UNREAD_TIMEOUT_MS = 15_000;

/** Reason why a connection was closed. @internal */
export type ConnectionDrop = 'too-many-connections' | 'too-many-requests';

/** Result of the parser's callback for a request after which no HTTP follows on the connection. */
const NO_MORE_REQUESTS = 2;

/**
 * Stops the parser of a connection that is closed. It would otherwise create objects for each of the
 * thousands of requests that it has read at once, and the runtime has no documented way to stop it.
 */
function stopParser(socket: Socket): void {
  const { parser } = socket as { readonly parser?: { onIncoming?: () => number } | null };
  if (parser?.onIncoming) parser.onIncoming = () => NO_MORE_REQUESTS;
}

/** Limits of the connections of one listener. @internal */
export interface ConnectionLimits {
  readonly maxConnections: number;
  /** Number of requests without a complete response on one connection. */
  readonly maxPipelined: number;
  /** Called when a connection is closed because of a limit. */
  readonly onDrop: (reason: ConnectionDrop) => void;
  /**
   * Makes room when all connections serve requests: rejects one whose body has stopped, if there is one.
   * Returns whether it did.
   */
  readonly rejectStopped?: () => boolean;
  /** Paces the reading of all connections of the process. */
  readonly pacer: ReadPacer;
}

/** Keeps the connections of a listener within their limits. @internal */
export interface ConnectionGuard {
  /** Adds a connection; closes one that serves no request if there are too many. */
  add(socket: Socket): void;
  /** Returns whether a request may be served; closes its connection if not. */
  admit(request: IncomingMessage, response: ServerResponse): boolean;
  /**
   * Admits no more requests of a connection. Returns its open responses in the order of their
   * requests; undefined if the connection was closing before.
   */
  readonly startClosing: (socket: Socket) => readonly ServerResponse[] | undefined;
  /** Returns whether a response is the last open one of its connection. */
  readonly isLast: (response: ServerResponse) => boolean;
}

/**
 * Creates a guard without connections.
 *
 * @param limits - see {@link ConnectionLimits}
 * @returns the guard
 * @internal
 */
export function createConnectionGuard(limits: ConnectionLimits): ConnectionGuard {
  /** Responses that have not been written in full, by connection, in the order of their requests. */
  const open = new Map<Socket, Set<ServerResponse>>();
  /** Connections without an open request, the longest unused first. */
  const unused = new Set<Socket>();
  /** Connections that close after their open responses. */
  const closing = new WeakSet<Socket>();

  function drop(socket: Socket, reason: ConnectionDrop): void {
    limits.onDrop(reason);
    remove(socket);
    stopParser(socket);
    socket.destroy();
  }

  function remove(socket: Socket): void {
    open.delete(socket);
    unused.delete(socket);
  }

  /** Closes the responses of a closed connection. The runtime does so only with the first one. */
  function closeResponses(responses: ReadonlySet<ServerResponse>): void {
    process.nextTick(() => {
      for (const response of responses) {
        response.destroy();
        response.emit('close');
      }
    });
  }

  return {
    add(socket) {
      if (open.size >= limits.maxConnections) {
        const [oldest] = unused;
        if (oldest !== undefined) {
          drop(oldest, 'too-many-connections');
        } else if (limits.rejectStopped?.() !== true) {
          drop(socket, 'too-many-connections');
          return;
        }
      }
      const responses = new Set<ServerResponse>();
      open.set(socket, responses);
      unused.add(socket);
      limits.pacer.add(socket);
      socket.once('close', () => {
        remove(socket);
        closeResponses(responses);
      });
    },
    admit({ socket }, response) {
      const responses = open.get(socket);
      // A closed connection may still have a request that was parsed before.
      if (responses === undefined) return false;
      // The connection closes before the response to this request could be sent.
      if (closing.has(socket) || [...responses].some(hasClosingHead)) return false;
      if (responses.size >= limits.maxPipelined) {
        drop(socket, 'too-many-requests');
        return false;
      }
      responses.add(response);
      unused.delete(socket);
      response.once('close', () => {
        responses.delete(response);
        if (responses.size === 0 && open.has(socket)) unused.add(socket);
      });
      response.on('prefinish', () => {
        // The HTTP server sets another timeout when the response has been written.
        if (socket.writableLength > 0) socket.setTimeout(UNREAD_TIMEOUT_MS);
      });
      return true;
    },
    startClosing(socket) {
      if (closing.has(socket)) return undefined;
      closing.add(socket);
      return [...(open.get(socket) ?? [])];
    },
    isLast(response) {
      const responses = open.get(response.req.socket);
      return responses === undefined || [...responses].at(-1) === response;
    },
  };
}

const hasClosingHead = ({ headersSent, shouldKeepAlive }: ServerResponse) =>
  headersSent && !shouldKeepAlive;
