/** The connection of the caller of one request. @public */
export interface CallerConnection {
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
  /**
   * Returns whether the caller is still connected, once all that has arrived on its connection was
   * read. Call it before work that would be wasted for a caller that has left: a process that is
   * late finds a request and the end of its connection at the same time.
   */
  confirm(): Promise<boolean>;
}
