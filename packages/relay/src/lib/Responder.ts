import type { CallerResponse } from './ports.js';

/**
 * The way back to one caller.
 *
 * @public
 */
export interface Responder {
  /** Whether the answer has begun; from then on it can only go on or break off. */
  readonly hasStarted: () => boolean;
  /** Begins an answer that is written piece by piece. */
  start(status: number, headers: readonly string[]): void;
  /** Writes a piece; false asks to wait for `onDrain`, because the caller reads slowly. */
  write(chunk: Buffer): boolean;
  /** Calls back once when the caller has read what was written. */
  onDrain(callback: () => void): void;
  /** Ends a whole answer. */
  end(): void;
  /** Sends a whole answer. */
  send(answer: CallerResponse): void;
  /** Breaks the connection, so that the answer does not look whole. */
  abort(): void;
}
