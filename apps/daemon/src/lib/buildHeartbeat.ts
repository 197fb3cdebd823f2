import type { ProcessId } from '@endiveferry/base';
import type { HostDemand, WorkspaceLimiter } from '@endiveferry/admission';
import type { Claims } from '@endiveferry/claims';
import type { Heartbeat } from '@endiveferry/peers';
import type { PoolSet } from '@endiveferry/pipeline';
import type { CrashTracker } from '@endiveferry/routing';

import type { ControlState } from './createControlState.js';
import type { SuccessorTable } from './createSuccessorTable.js';

/** Heartbeats omit workspaces that offer fewer requests a second. */
const MIN_REPORTED_RATE = 0.01;

/** Sources of a heartbeat. @internal */
export interface HeartbeatSources {
  readonly processId: ProcessId;
  readonly isDraining: boolean;
  readonly control: ControlState;
  readonly claims: Claims;
  readonly successors: SuccessorTable;
  readonly pools: PoolSet;
  readonly demand: HostDemand;
  readonly crashes: Pick<CrashTracker, 'listReports'>;
}

/**
 * Builds the current demand of this host's callers.
 *
 * @param pools - provide the demand of their queues
 * @param limiter - provides the request rate that each workspace offers
 * @returns the demand
 * @internal
 */
export function buildDemand(pools: PoolSet, limiter: WorkspaceLimiter): HostDemand {
  const workspaces = limiter
    .listWorkspaces()
    .map((workspaceId) => ({ workspaceId, rate: limiter.getOfferedRate(workspaceId) }))
    .filter(({ rate }) => rate > MIN_REPORTED_RATE);
  return { pools: pools.listDemand(), workspaces };
}

/**
 * Builds the heartbeat that this host sends to its peers.
 *
 * @param sources - see {@link HeartbeatSources}
 * @returns the heartbeat
 * @internal
 */
export function buildHeartbeat(sources: HeartbeatSources): Heartbeat {
  const { control, claims, pools, demand } = sources;
  const listedPools = demand.pools
    .filter(({ slots }) => slots.length > 0)
    .map(({ poolId, slots }) => ({ poolId, slots: [...slots] }));
  return {
    processId: sources.processId,
    isDraining: sources.isDraining,
    configurationRevision: control.published()?.revision ?? 0,
    hostListRevision: control.hostListRevision(),
    hostListAsOf: control.hostListAsOfMs(),
    successors: sources.successors.list(claims.listTakenOverProcesses()),
    leavingServers: pools.listPools().flatMap(({ router }) => router.listReportedLeavingServers()),
    suspects: sources.crashes.listReports(),
    demand: { pools: listedPools, workspaces: [...demand.workspaces] },
  };
}
