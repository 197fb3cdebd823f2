import type { ServerSocket } from './ServerSocket.js';

/** Holds back what a socket has received. @internal */
export interface ReadGate {
  /** Keeps the data and the end of the connection in the socket, which then stops receiving. */
  close(): void;
  open(): void;
}

/**
 * Creates an open gate on a socket that is read through `read` in a `readable` listener.
 *
 * The client library has a pause of its own, but fails with an assertion in the socket's listener
 * when a connection ends or is reset while a response that ends with its connection is paused.
 * Behind a gate, its parser is never paused, and it sees the end only after all data.
 *
 * @param socket - the socket, before its first read
 * @returns the gate
 * @internal
 */
export function createReadGate(socket: ServerSocket): ReadGate {
  const read = socket.read.bind(socket);
  let isClosed = false;
  // A stream emits its end when it is read while empty, so this holds back the end as well.
  socket.read = (size) => (isClosed ? null : (read(size) as unknown));
  return {
    close() {
      isClosed = true;
    },
    open() {
      if (!isClosed) return;
      isClosed = false;
      // The gate may be opened while the library parses, and its parser cannot be entered again.
      process.nextTick(() => {
        if (!isClosed && !socket.destroyed) socket.emit('readable');
      });
    },
  };
}
