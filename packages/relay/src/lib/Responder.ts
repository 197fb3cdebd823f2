import type { CallerResponse } from './ports.js';

/** Writes the response to one caller. @public */
export interface Responder {
  /** Whether the response has started; from then on it can only be continued or aborted. */
  readonly hasStarted: () => boolean;
  /** Starts a streamed response. */
  start(status: number, headers: readonly string[]): void;
  /** Writes a chunk; false asks to wait for `onDrain`, because the caller reads slowly. */
  write(chunk: Buffer): boolean;
  /** Calls back once when the write buffer is empty. */
  onDrain(callback: () => void): void;
  /** Ends a streamed response. */
  end(): void;
  /** Sends a complete response. */
  send(response: CallerResponse): void;
  /** Closes the connection, so that the caller can tell that the response is incomplete. */
  abort(): void;
}
