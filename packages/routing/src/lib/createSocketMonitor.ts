import { guardListeners } from '@endiveferry/base';

import { createReadGate, type ReadGate } from './createReadGate.js';
import type { ServerSocket } from './ServerSocket.js';

/**
 * Bytes that a server may send before and between the data of a response, such as heads and chunk
 * headers.
 */
const MAX_OVERHEAD_BYTES = 262_144;

/** Watches the sockets of the connections to one server. @internal */
export interface SocketMonitor {
  /** Returns whether a socket's error is being handled right now. */
  readonly isFailing: () => boolean;
  /**
   * Records that the client library just read the head or data of a response. It does so while the
   * socket reports that it is readable.
   */
  recordProgress(): void;
  /** Returns the gate of the socket that the client library is reading right now. */
  readonly findGate: () => ReadGate | undefined;
  /** Watches a new socket, so that these listeners run before those of the client library. */
  readonly watch: (socket: ServerSocket) => void;
}

/**
 * Creates a monitor. It closes a socket on which a server sends bytes without end that are no part
 * of a response's data; the client library would read them for as long as they arrive.
 *
 * @param onListenerError - called when a listener of a socket threw; the socket is closed then
 * @returns the monitor, without sockets
 * @internal
 */
export function createSocketMonitor(
  onListenerError?: (error: Error, event: string) => void,
): SocketMonitor {
  let isFailing = false;
  let recordProgress = () => undefined;
  let readGate: ReadGate | undefined;
  const recordFailure = () => {
    isFailing = true;
    queueMicrotask(() => {
      isFailing = false;
    });
  };

  function watchReads(socket: ServerSocket): void {
    let bytesAtProgress = 0;
    const recordSocketProgress = () => {
      bytesAtProgress = socket.bytesRead;
      return undefined;
    };
    const gate = createReadGate(socket);
    socket.on('readable', () => {
      readGate = gate;
      recordProgress = recordSocketProgress;
      if (socket.bytesRead - bytesAtProgress <= MAX_OVERHEAD_BYTES) return;
      socket.destroy(new Error(`received ${MAX_OVERHEAD_BYTES} bytes without data of a response`));
    });
  }

  return {
    isFailing: () => isFailing,
    recordProgress: () => recordProgress(),
    findGate: () => readGate,
    watch(socket) {
      guardListeners(socket, (error, event) => {
        onListenerError?.(error, event);
        socket.destroy(error);
      });
      watchReads(socket);
      socket.on('error', recordFailure);
      socket.on('end', () => {
        // A reset that arrives together with data is reported as an ordinary end, but a reset
        // connection no longer has a peer. Node caches the first value of `remoteAddress`, so
        // nothing may read it earlier.
        if (socket.remoteAddress === undefined) recordFailure();
      });
    },
  };
}
