import { createStateMachine, isAborted, waitFor, type Clock, type HostId } from '@endiveferry/base';
import type { Claims, HandOverPlan } from '@endiveferry/claims';
import type { Heartbeat, PeerNetwork } from '@endiveferry/peers';
import type { Logger } from '@endiveferry/telemetry';

import type { ControlState } from './createControlState.js';

const POLL_MS = 20;
/** How long a host that starts waits for others that do not answer. */
const PEER_UPDATE_TIMEOUT_MS = 2_000;
const HAND_OVER_TIMEOUT_MS = 5_000;

/** Where a daemon is in its life. @public */
export type DaemonState = 'starting' | 'ready' | 'draining' | 'refusing' | 'stopped';

/**
 * A daemon's way from start to stop.
 *
 * @internal
 */
export interface Lifecycle {
  readonly state: () => DaemonState;
  /** Waits for a configuration, and until no other host knows a newer one. */
  becomeReady(signal: AbortSignal): Promise<void>;
  /** Stops gracefully; further calls wait for the same end. */
  readonly drain: () => Promise<void>;
  /** Stops at once, as a crash would. */
  kill(): Promise<void>;
}

/**
 * Options of a lifecycle.
 *
 * @internal
 */
export interface LifecycleOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly control: ControlState;
  readonly claims: Claims;
  /** Read late, since the network is created after the lifecycle. */
  readonly findNetwork: () => PeerNetwork<Heartbeat>;
  /** Hosts that can take over from this one. */
  readonly listHandOverTargets: () => readonly HostId[];
  readonly countActive: () => number;
  /** Time for the balancer to notice that the host is not ready before it refuses requests. */
  readonly readinessGraceMs: number;
  /** Closes everything; called once. */
  readonly closeAll: () => Promise<void>;
}

/**
 * Creates the lifecycle of a daemon that starts.
 *
 * @param options - see {@link LifecycleOptions}
 * @returns the lifecycle
 * @internal
 */
export function createLifecycle(options: LifecycleOptions): Lifecycle {
  const { clock, logger, control, claims, findNetwork } = options;
  let stopping: Promise<void> | undefined;
  const machine = createStateMachine<DaemonState, 'ready' | 'drain' | 'refuse' | 'stop'>(
    'starting',
    {
      starting: { ready: 'ready', drain: 'draining', stop: 'stopped' },
      ready: { drain: 'draining', stop: 'stopped' },
      draining: { refuse: 'refusing', stop: 'stopped' },
      refusing: { stop: 'stopped' },
      stopped: {},
    },
    (state) => logger.info('state changed', { state }),
  );

  /** Whether some other host has not been heard yet, or knows a newer revision. */
  function isBehindPeers(): boolean {
    return findNetwork()
      .listLinks()
      .some(
        ({ lastHeartbeat }) =>
          lastHeartbeat === undefined ||
          lastHeartbeat.configurationRevision > control.seenRevision() ||
          lastHeartbeat.hostListRevision > control.hostListRevision(),
      );
  }

  /** At most one host may ever take a process's keys, so an unknown outcome ends the tries. */
  async function sendHandOver(plan: HandOverPlan): Promise<void> {
    for (const target of plan.hosts) {
      const reply = await findNetwork().request(
        target,
        'take-over-keys',
        plan.handOver,
        HAND_OVER_TIMEOUT_MS,
      );
      if (reply.isOk() || reply.error.kind === 'unknown') return;
    }
  }

  async function stopNow(): Promise<void> {
    machine.send('stop');
    await options.closeAll();
  }

  async function stopGracefully(): Promise<void> {
    machine.send('drain');
    findNetwork().sendHeartbeats();
    await waitFor(clock, options.readinessGraceMs);
    machine.send('refuse');
    while (options.countActive() > 0) await waitFor(clock, POLL_MS);
    const plans = claims.close(options.listHandOverTargets());
    await Promise.all(plans.map(sendHandOver));
    await stopNow();
  }

  return {
    state: () => machine.current(),
    async becomeReady(signal) {
      while (control.configuration() === undefined && !isAborted(signal)) {
        await waitFor(clock, POLL_MS, signal);
      }
      // What the platform shows may be stale, so the other hosts are asked before anyone is served.
      const waitUntil = clock.now() + PEER_UPDATE_TIMEOUT_MS;
      while (isBehindPeers() && clock.now() < waitUntil && !isAborted(signal)) {
        await waitFor(clock, POLL_MS, signal);
      }
      if (!isAborted(signal)) machine.send('ready');
    },
    drain() {
      stopping ??= stopGracefully();
      return stopping;
    },
    async kill() {
      stopping ??= stopNow();
      await stopping;
    },
  };
}
