import type { Clock } from '@endiveferry/base';

/** Number of checks within the keepalive timeout. */
const CHECKS_PER_TIMEOUT = 3;
/** Time from scheduling to running a check, in intervals, above which this process has stalled. */
const LATE_CHECK_FACTOR = 1.5;

/**
 * Detects that the remote host of a connection stopped responding while requests are pending.
 *
 * @internal
 */
export interface KeepaliveMonitor {
  /** Starts the checks when a request is sent; without effect while they run. */
  start(): void;
  /** Records that data was received from the remote host. */
  recordReceived(): void;
  /** Stops the checks. */
  stop(): void;
}

/** The monitored connection. @internal */
export interface MonitoredConnection {
  readonly hasPendingRequests: () => boolean;
  /** Sends a ping, to which a responsive host replies at once. */
  readonly sendPing: () => void;
  /** Closes the connection when the keepalive timeout expires. */
  readonly close: () => void;
}

/**
 * Creates the keepalive monitor of one connection. While requests are pending, it pings a remote
 * host that sends nothing, and closes the connection when the timeout expires. TCP does not report
 * a host that lost power or is behind a partition, nor a connection whose state was dropped by a
 * device on the network path: the socket stays open.
 *
 * @param clock - schedules the checks
 * @param timeoutMs - time without received data until the connection is closed, in milliseconds
 * @param connection - see {@link MonitoredConnection}
 * @returns the monitor, not started
 * @internal
 */
export function createKeepaliveMonitor(
  clock: Clock,
  timeoutMs: number,
  connection: MonitoredConnection,
): KeepaliveMonitor {
  const intervalMs = timeoutMs / CHECKS_PER_TIMEOUT;
  let cancelCheck: (() => void) | undefined;
  let checkDueAt = 0;
  let checksWithoutData = 0;

  function scheduleCheck(): void {
    checkDueAt = clock.now() + intervalMs;
    cancelCheck = clock.schedule(intervalMs, check);
  }

  function check(): void {
    cancelCheck = undefined;
    if (!connection.hasPendingRequests()) return;
    // Data that arrived during a stall of this process is read only after this check.
    const wasStalled = clock.now() - checkDueAt > intervalMs * (LATE_CHECK_FACTOR - 1);
    checksWithoutData = wasStalled ? 0 : checksWithoutData + 1;
    if (checksWithoutData >= CHECKS_PER_TIMEOUT) {
      connection.close();
      return;
    }
    if (checksWithoutData > 0) connection.sendPing();
    scheduleCheck();
  }

  return {
    start() {
      if (cancelCheck !== undefined) return;
      checksWithoutData = 0;
      scheduleCheck();
    },
    recordReceived() {
      checksWithoutData = 0;
    },
    stop() {
      cancelCheck?.();
      cancelCheck = undefined;
    },
  };
}
