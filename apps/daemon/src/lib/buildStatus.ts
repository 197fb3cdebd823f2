import type { HostId, PoolId, ProcessId } from '@endiveferry/base';
import type { Heartbeat, LinkStatus, PeerNetwork } from '@endiveferry/peers';
import type { PoolRuntime, PoolSet } from '@endiveferry/pipeline';
import type { ServerStatus } from '@endiveferry/routing';
import { formatConfigurationIssue } from '@endiveferry/settings';

import type { ControlState } from './createControlState.js';
import type { DaemonState } from './createLifecycle.js';

/**
 * What a host knows of another one.
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
 * What a host knows of one pool.
 *
 * @public
 */
export interface PoolStatus {
  readonly poolId: PoolId;
  readonly running: number;
  readonly waiting: number;
  /** Calls that this host may have running now. */
  readonly budget: number;
  /** Calls that the whole pool can run at once. */
  readonly capacity: number;
  readonly firstTries: number;
  readonly retries: number;
  readonly backendServers: readonly ServerStatus[];
}

/**
 * A host as it sees itself and the rest.
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
  /** Why a newer revision is not in force. */
  readonly rejected: { readonly revision: number; readonly faults: readonly string[] } | undefined;
  readonly hosts: readonly HostId[];
  readonly peers: readonly PeerStatus[];
  readonly pools: readonly PoolStatus[];
  readonly keyRecords: number;
  readonly controlBytes: number;
}

/** What the status of a host is built from. @internal */
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

function buildPoolStatus({ id, queue, router, findBudget, retryBudget }: PoolRuntime): PoolStatus {
  return {
    poolId: id,
    running: queue.running(),
    waiting: queue.waiting(),
    budget: findBudget(),
    capacity: router.capacity(),
    ...retryBudget.counts(),
    backendServers: router.listStatus(),
  };
}

/**
 * Builds the status of a host.
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
        : { revision: rejected.revision, faults: rejected.faults.map(formatConfigurationIssue) },
    hosts: [...control.listHosts().keys()],
    peers: network.listLinks().map(buildPeerStatus),
    pools: pools.listPools().map(buildPoolStatus),
    keyRecords,
    controlBytes: network.countBytes(),
  };
}
