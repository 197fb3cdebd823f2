import type { IncomingMessage, ServerResponse } from 'node:http';

import { isAborted, NO_LONGER_NEEDED, type Clock } from '@endiveferry/base';
import type { CallerConnection } from '@endiveferry/relay';

/** Age up to which a confirmation is used again, in milliseconds. */
const MAX_CONFIRMATION_AGE_MS = 50;

/**
 * Waits for the next turn of the event loop, in which all sockets are polled. The first immediate
 * still runs in the current turn.
 */
function waitForNextPoll(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(() => setImmediate(resolve));
  });
}

/**
 * Creates the connection of the caller of an HTTP request.
 *
 * @param request - the request
 * @param response - its response, not yet started
 * @param clock - clock for the age of confirmations
 * @returns the connection
 * @internal
 */
export function createCallerConnection(
  { socket }: IncomingMessage,
  response: ServerResponse,
  clock: Clock,
): CallerConnection {
  const disconnect = new AbortController();
  const { signal } = disconnect;
  const abort = () => disconnect.abort(NO_LONGER_NEEDED);
  // The HTTP server closes a connection whose caller ended it, but only some turns later.
  socket.once('end', abort);
  response.once('close', () => {
    socket.removeListener('end', abort);
    if (!response.writableFinished) abort();
  });
  let confirmedAt = -Infinity;
  return {
    signal,
    async confirm() {
      if (!signal.aborted && clock.now() - confirmedAt > MAX_CONFIRMATION_AGE_MS) {
        await waitForNextPoll();
        confirmedAt = clock.now();
      }
      return !isAborted(signal);
    },
  };
}
