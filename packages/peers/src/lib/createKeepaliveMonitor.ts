import type { Clock } from '@endiveferry/base';

/** Looks at the connection in the time of silence that is allowed. */
const LOOKS = 3;
/** A look that comes this many times its interval late tells that this process stood still itself. */
const LATE_LOOK = 1.5;

/**
 * Notices that the other side of a connection is silent although replies are due.
 *
 * @internal
 */
export interface KeepaliveMonitor {
  /** Begins to watch, because a reply is due. */
  start(): void;
  /** Something was received. */
  noteHeard(): void;
  stop(): void;
}

/** What the watch needs of its connection. @internal */
export interface WatchedConnection {
  readonly needsReplies: () => boolean;
  /** Asks the other side for a sign of life. */
  readonly ask: () => void;
  readonly close: () => void;
}

/**
 * Creates the watch of one connection. While replies are due, a silent other side is asked for a
 * sign of life, and given up when none comes: a host without power or behind a partition answers
 * nothing, and a connection that something between the ends lost track of looks open for good.
 *
 * @param clock - times the looks
 * @param silenceMs - the silence that is allowed, in milliseconds
 * @param connection - see {@link WatchedConnection}
 * @returns the watch, which does not watch yet
 * @internal
 */
export function createKeepaliveMonitor(
  clock: Clock,
  silenceMs: number,
  connection: WatchedConnection,
): KeepaliveMonitor {
  const intervalMs = silenceMs / LOOKS;
  let cancelLook: (() => void) | undefined;
  let lookAt = 0;
  let silentLooks = 0;

  function scheduleLook(): void {
    lookAt = clock.now() + intervalMs;
    cancelLook = clock.schedule(intervalMs, look);
  }

  function look(): void {
    cancelLook = undefined;
    if (!connection.needsReplies()) return;
    // What was received while this process stood still is read after this look.
    const stoodStill = clock.now() - lookAt > intervalMs * (LATE_LOOK - 1);
    silentLooks = stoodStill ? 0 : silentLooks + 1;
    if (silentLooks >= LOOKS) {
      connection.close();
      return;
    }
    if (silentLooks > 0) connection.ask();
    scheduleLook();
  }

  return {
    start() {
      if (cancelLook !== undefined) return;
      silentLooks = 0;
      scheduleLook();
    },
    noteHeard() {
      silentLooks = 0;
    },
    stop() {
      cancelLook?.();
      cancelLook = undefined;
    },
  };
}
