import type { ProcessId } from '@endiveferry/base';
import type { HostDemand, WorkspaceLimiter } from '@endiveferry/admission';
import type { Claims } from '@endiveferry/claims';
import type { Heartbeat } from '@endiveferry/peers';
import type { PoolSet } from '@endiveferry/pipeline';

import type { ControlState } from './createControlState.js';
import type { SuccessorTable } from './createSuccessorTable.js';

/** A workspace that offers fewer requests a second is left out of heartbeats. */
const MIN_REPORTED_RATE = 0.01;

/** What a heartbeat is built from. @internal */
export interface HeartbeatSources {
  readonly processId: ProcessId;
  readonly isDraining: boolean;
  readonly control: ControlState;
  readonly claims: Claims;
  readonly successors: SuccessorTable;
  readonly pools: PoolSet;
  readonly demand: HostDemand;
}

/**
 * Builds what this host's callers want now.
 *
 * @param pools - the pools, whose queues know
 * @param limiter - knows what workspaces offered
 * @returns the demand
 * @internal
 */
export function buildDemand(pools: PoolSet, limiter: WorkspaceLimiter): HostDemand {
  const workspaces = limiter
    .listWorkspaces()
    .map((workspaceId) => ({ workspaceId, rate: limiter.findOfferedRate(workspaceId) }))
    .filter(({ rate }) => rate > MIN_REPORTED_RATE);
  return { pools: pools.listDemand(), workspaces };
}

/**
 * Builds what this host tells the others.
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
    leavingServers: pools.listPools().flatMap(({ router }) => router.listReportedLeaving()),
    demand: { pools: listedPools, workspaces: [...demand.workspaces] },
  };
}
