import type { HostId, PoolId, ProcessId } from '@endiveferry/base';
import type { Heartbeat, LinkStatus, PeerNetwork } from '@endiveferry/peers';
import type { PoolRuntime, PoolSet } from '@endiveferry/pipeline';
import type { ServerStatus } from '@endiveferry/routing';
import { formatConfigurationIssue } from '@endiveferry/settings';

import type { ControlState } from './createControlState.js';
import type { DaemonState } from './createLifecycle.js';

/**
 * Status of a peer, as last reported to this host.
 *
 * @public
 */
export interface PeerStatus {
  readonly hostId: HostId;
  readonly link: LinkStatus<Heartbeat>['state'];
  readonly processId: ProcessId | undefined;
  readonly isDraining: boolean | undefined;
  readonly configurationRevision: number | undefined;
  readonly hostListRevision: number | undefined;
}

/**
 * Status of a pool, as known to this host.
 *
 * @public
 */
export interface PoolStatus {
  readonly poolId: PoolId;
  readonly running: number;
  readonly waiting: number;
  /** Number of calls that this host may currently run at once. */
  readonly budget: number;
  /** Number of calls that the entire pool can run at once. */
  readonly capacity: number;
  readonly firstTries: number;
  readonly retries: number;
  readonly backendServers: readonly ServerStatus[];
}

/**
 * Status of a host, with its view of the peers and pools.
 *
 * @public
 */
export interface HostStatus {
  readonly hostId: HostId;
  readonly processId: ProcessId;
  readonly state: DaemonState;
  readonly activeRequests: number;
  readonly configurationRevision: number | undefined;
  readonly hostListRevision: number;
  /** Newer revision that is not in force, with the reasons. */
  readonly rejected: { readonly revision: number; readonly faults: readonly string[] } | undefined;
  readonly hosts: readonly HostId[];
  readonly peers: readonly PeerStatus[];
  readonly pools: readonly PoolStatus[];
  readonly keyRecords: number;
  readonly controlBytes: number;
}

/** Sources of a host's status. @internal */
export interface StatusSources {
  readonly hostId: HostId;
  readonly processId: ProcessId;
  readonly state: DaemonState;
  readonly activeRequests: number;
  readonly keyRecords: number;
  readonly control: ControlState;
  readonly network: PeerNetwork<Heartbeat>;
  readonly pools: PoolSet;
}

function buildPeerStatus({ hostId, state, lastHeartbeat }: LinkStatus<Heartbeat>): PeerStatus {
  return {
    hostId,
    link: state,
    processId: lastHeartbeat?.processId,
    isDraining: lastHeartbeat?.isDraining,
    configurationRevision: lastHeartbeat?.configurationRevision,
    hostListRevision: lastHeartbeat?.hostListRevision,
  };
}

function buildPoolStatus({ id, queue, router, getBudget, retryBudget }: PoolRuntime): PoolStatus {
  return {
    poolId: id,
    running: queue.running(),
    waiting: queue.waiting(),
    budget: getBudget(),
    capacity: router.capacity(),
    ...retryBudget.counts(),
    backendServers: router.listStatus(),
  };
}

/**
 * Builds the current status of a host.
 *
 * @param sources - see {@link StatusSources}
 * @returns the status
 * @internal
 */
export function buildStatus(sources: StatusSources): HostStatus {
  const { hostId, processId, state, activeRequests, keyRecords, control, network, pools } = sources;
  const rejected = control.rejected();
  return {
    hostId,
    processId,
    state,
    activeRequests,
    configurationRevision: control.published()?.revision,
    hostListRevision: control.hostListRevision(),
    rejected:
      rejected === undefined
        ? undefined
        : { revision: rejected.revision, faults: rejected.issues.map(formatConfigurationIssue) },
    hosts: [...control.listHosts().keys()],
    peers: network.listLinks().map(buildPeerStatus),
    pools: pools.listPools().map(buildPoolStatus),
    keyRecords,
    controlBytes: network.countBytes(),
  };
}
