import { createNotRunFailure, type Clock, type Failure, type HostId } from '@endiveferry/base';
import { err } from 'neverthrow';

import { admitRequest, type AdmissionOptions, type AdmittedRequest } from './admitRequest.js';
import type { Fleet } from '../fleet/createFleet.js';
import type { BackendChooser } from './createBackendChooser.js';
import type { InputPreparer } from './createInputPreparer.js';
import { limitToStop } from './limitToStop.js';
import type { HostEnvironment } from '../HostEnvironment.js';
import type { CallerRequest, WireProtocol } from '../ports.js';
import type { EstimateWaitMs } from '../RankWait.js';
import type { ServerExplanation } from '../servers/explainServers.js';

/** Number of dispatchers in an explanation; a stage is sent to no more of them. */
const MAX_DISPATCHERS = 3;

/** A stage that a request would run, and who would run it. @public */
export interface StageExplanation {
  readonly pool: string;
  readonly pieces: number;
  /** Hosts that the stage would be sent to, the preferred one first. */
  readonly dispatchers: readonly HostId[];
  /** Expected waiting time at the pool, in milliseconds. */
  readonly waitMs: number;
}

/** A pool that a request may be sent to. @public */
export interface PoolExplanation {
  readonly pool: string;
  /** Share of the route's traffic, relative to its other pools. */
  readonly weight: number;
  /** Server that would be chosen; `null` when none can be. */
  readonly chosen: string | null;
  readonly servers: readonly ServerExplanation[];
}

/** Where a host would send a request now, and why. @public */
export interface RouteExplanation {
  readonly host: string;
  /** Version of the configuration in force. */
  readonly version: number;
  readonly isAdmitted: boolean;
  /** Why the request would be rejected. */
  readonly rejection?: Pick<Failure, 'reason' | 'detail' | 'retryAfterMs'>;
  readonly route?: { readonly name: string; readonly prefix: string; readonly kind: string };
  readonly workspace?: string;
  readonly rank?: number;
  /** Expected waiting time at the pools of all stages, in milliseconds. */
  readonly waitMs?: number;
  readonly stages?: readonly StageExplanation[];
  readonly pools?: readonly PoolExplanation[];
}

/** Explains a request as the host would serve it now; nothing is sent, counted or reserved. @public */
export type ExplainRoute = (callerRequest: CallerRequest) => RouteExplanation;

/** Options of {@link createRouteExplainer}. @internal */
export interface RouteExplainerOptions extends Omit<AdmissionOptions, 'random'> {
  readonly clock: Clock;
  readonly environment: Pick<HostEnvironment, 'hostName'>;
  readonly protocol: Pick<WireProtocol, 'parseRequest'>;
  readonly chooser: Pick<BackendChooser, 'checkServers' | 'explain'>;
  readonly inputs: Pick<InputPreparer, 'check'>;
  /** Lists the hosts that may dispatch the pieces of a pool, the preferred one first. */
  readonly listDispatchers: Fleet['listDispatchers'];
  readonly estimateWaitMs: EstimateWaitMs;
  readonly findStopEndAt: () => number | undefined;
  readonly isRejecting: () => boolean;
}

/**
 * Creates what explains requests, from the decisions that serve them.
 *
 * @param options - see {@link RouteExplainerOptions}
 * @returns the function that explains a request
 * @internal
 */
export function createRouteExplainer(options: RouteExplainerOptions): ExplainRoute {
  const { environment, protocol, chooser, configurationTracker } = options;
  // The choice between the pools of a route is random; all of them are explained.
  const admissionOptions = { ...options, random: { nextFraction: () => 0, nextInteger: () => 0 } };

  function admit(callerRequest: CallerRequest) {
    return protocol
      .parseRequest(callerRequest)
      .andThen((metadata) =>
        options.isRejecting()
          ? err(createNotRunFailure('draining', 'this host is stopping'))
          : admitRequest(callerRequest, metadata, admissionOptions).andThen((request) =>
              limitToStop(request, options.findStopEndAt()),
            ),
      );
  }

  function explainStages({ route, metadata, rank }: AdmittedRequest): StageExplanation[] {
    return route.stages.map(({ poolId }, index) => ({
      pool: poolId,
      pieces: metadata.pieceCounts[index] ?? 0,
      dispatchers: options.listDispatchers(poolId).slice(0, MAX_DISPATCHERS),
      waitMs: options.estimateWaitMs(poolId, rank),
    }));
  }

  function explainPools(admitted: AdmittedRequest): PoolExplanation[] {
    return admitted.route.pools.map(({ poolId, weight }) => ({
      pool: poolId,
      weight,
      ...chooser.explain({ ...admitted, poolId }),
    }));
  }

  /** Returns why an admitted request would be rejected before its first attempt. */
  function findRejection(admitted: AdmittedRequest): Failure | undefined {
    const failures = admitted.route.pools
      .filter(({ weight }) => weight > 0)
      .map(({ poolId }) => chooser.checkServers({ poolId, origin: undefined }));
    const isRejectedByAll = failures.every((failure) => failure !== undefined);
    return (isRejectedByAll ? failures[0] : undefined) ?? options.inputs.check(admitted);
  }

  return (callerRequest) => {
    const common = { host: environment.hostName, version: configurationTracker.version() };
    const admitted = admit(callerRequest);
    if (admitted.isErr())
      return { ...common, isAdmitted: false, rejection: describeFailure(admitted.error) };
    const { route, workspace, rank } = admitted.value;
    const stages = explainStages(admitted.value);
    const waits = new Map(
      stages.flatMap(({ pool, pieces, waitMs }) => (pieces > 0 ? [[pool, waitMs]] : [])),
    );
    const rejection = findRejection(admitted.value);
    return {
      ...common,
      isAdmitted: rejection === undefined,
      ...(rejection === undefined ? {} : { rejection: describeFailure(rejection) }),
      route: { name: route.pipelineId, prefix: `${route.host}${route.prefix}`, kind: route.kind },
      ...(workspace === undefined ? {} : { workspace: workspace.workspaceId }),
      rank,
      waitMs: [...waits.values()].reduce((sum, waitMs) => sum + waitMs, 0),
      stages,
      pools: explainPools(admitted.value),
    };
  };
}

const describeFailure = ({ reason, detail, retryAfterMs }: Failure) => ({
  reason,
  detail,
  ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
});
