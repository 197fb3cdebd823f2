import { createStateMachine, isAborted, waitFor, type Clock, type HostId } from '@endiveferry/base';
import type { Claims, HandoverPlan } from '@endiveferry/claims';
import type { Heartbeat, PeerNetwork } from '@endiveferry/peers';
import type { Logger } from '@endiveferry/telemetry';

import type { ControlState } from './createControlState.js';

const POLL_MS = 20;
/** Limits how long a starting host waits for peers that do not respond. */
const PEER_UPDATE_TIMEOUT_MS = 2_000;
const HANDOVER_TIMEOUT_MS = 5_000;

/** Life-cycle state of a daemon. @public */
export type DaemonState = 'starting' | 'ready' | 'draining' | 'refusing' | 'stopped';

/**
 * Life cycle of a daemon, from start to stop.
 *
 * @internal
 */
export interface Lifecycle {
  readonly state: () => DaemonState;
  /** Waits for a configuration, and until no peer reports a newer revision. */
  becomeReady(signal: AbortSignal): Promise<void>;
  /** Stops gracefully; further calls await the same stop. */
  readonly drain: () => Promise<void>;
  /** Stops at once, as in a crash. */
  kill(): Promise<void>;
}

/**
 * Options of a life cycle.
 *
 * @internal
 */
export interface LifecycleOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly control: ControlState;
  readonly claims: Claims;
  /** Called on use, since the network is created after the life cycle. */
  readonly findNetwork: () => PeerNetwork<Heartbeat>;
  /** Hosts that can take over the keys of this one. */
  readonly listHandoverTargets: () => readonly HostId[];
  readonly countActive: () => number;
  /** Time for the load balancer to notice the lost readiness before requests are rejected. */
  readonly readinessGraceMs: number;
  /** Closes all components of the daemon; called once. */
  readonly closeAll: () => Promise<void>;
}

/**
 * Creates the life cycle of a daemon, in state `starting`.
 *
 * @param options - see {@link LifecycleOptions}
 * @returns the life cycle
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

  /** Whether any peer has sent no heartbeat yet, or reports a newer revision. */
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

  /**
   * Offers the keys to the planned hosts in turn. An unknown outcome ends the attempts, since at
   * most one host may ever take over the keys of a process.
   */
  async function sendHandover(plan: HandoverPlan): Promise<void> {
    for (const target of plan.hosts) {
      const reply = await findNetwork().request(
        target,
        'take-over-keys',
        plan.handover,
        HANDOVER_TIMEOUT_MS,
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
    const plans = claims.close(options.listHandoverTargets());
    await Promise.all(plans.map(sendHandover));
    await stopNow();
  }

  return {
    state: () => machine.current(),
    async becomeReady(signal) {
      while (control.configuration() === undefined && !isAborted(signal)) {
        await waitFor(clock, POLL_MS, signal);
      }
      // The platform's data may be stale, so revisions of peers are checked before serving requests.
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
