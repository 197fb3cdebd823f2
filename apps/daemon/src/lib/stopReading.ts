import type { Socket } from 'node:net';

/** Numbers of reasons why a connection is not read. */
const stops = new WeakMap<Socket, number>();

/**
 * Stops reading a connection once the data that is being parsed has been handled. The HTTP server
 * resumes a connection whenever it wants more of a body, so resuming has no effect meanwhile.
 *
 * @param socket - the connection
 * @returns a function that reads on, unless the connection is stopped for another reason as well
 * @internal
 */
export function stopReading(socket: Socket): () => void {
  const count = stops.get(socket) ?? 0;
  stops.set(socket, count + 1);
  if (count === 0) {
    socket.resume = () => socket;
    // A resumption that was requested before takes effect first.
    process.nextTick(() => socket.pause());
  }
  return () => {
    const left = (stops.get(socket) ?? 1) - 1;
    stops.set(socket, left);
    if (left > 0 || socket.destroyed) return;
    Reflect.deleteProperty(socket, 'resume');
    socket.resume();
  };
}
