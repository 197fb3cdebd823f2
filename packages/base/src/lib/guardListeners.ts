import type { EventEmitter } from 'node:events';

/**
 * Catches what the listeners of a connection throw, so that it ends this connection and not the
 * process. Listeners that are added later are covered too.
 *
 * @param connection - the connection, such as a socket
 * @param onError - called with each exception; has to close the connection
 * @public
 */
export function guardListeners(
  connection: EventEmitter,
  onError: (error: Error, event: string) => void,
): void {
  const emit = connection.emit.bind(connection);
  connection.emit = (event: string | symbol, ...values: unknown[]) => {
    try {
      return emit(event, ...values);
    } catch (error) {
      // Without a listener of its own, an error of the connection is thrown here as well.
      onError(error instanceof Error ? error : new Error(String(error)), String(event));
      return true;
    }
  };
}
