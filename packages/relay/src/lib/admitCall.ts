import {
  createRefusal,
  type Clock,
  type Failure,
  type FailureReason,
  type PoolId,
  type Random,
} from '@endiveferry/base';
import { err, ok, type Result } from 'neverthrow';

import type { ConfigurationTracker, ActiveConfiguration } from './createConfigurationTracker.js';
import { choosePool } from './createRouteTable.js';
import type { RequestMetadata, CallerRequest } from './ports.js';
import type { RelayWorkspace, Route } from './RelayConfiguration.js';

/**
 * A host whose configuration was not confirmed for so long, in milliseconds, doesn't say that a
 * route or a key is unknown: a newer version may hold it.
 */
const DENIAL_VALID_MS = 2_500;
/** A request that may be served. @public */
export interface AdmittedRequest {
  readonly call: CallerRequest;
  readonly metadata: RequestMetadata;
  readonly inForce: ActiveConfiguration;
  readonly route: Route;
  readonly workspace: RelayWorkspace | undefined;
  readonly poolId: PoolId;
  readonly rank: number;
  readonly arrivedAt: number;
  readonly endAt: number;
  readonly streamEndAt: number;
}

/** What admission needs of the rest. @internal */
export interface AdmissionPorts {
  readonly clock: Clock;
  readonly random: Random;
  readonly configurationTracker: ConfigurationTracker;
}

const refuse = (reason: FailureReason, detail: string) => err(createRefusal(reason, detail));

/** A denial of what a newer configuration may allow is put off until this host is sure. */
function deny(
  configurationTracker: ConfigurationTracker,
  reason: 'not-found' | 'unauthenticated',
  detail: string,
) {
  return configurationTracker.confirmedAgeMs() <= DENIAL_VALID_MS
    ? refuse(reason, detail)
    : refuse(
        'draining',
        'this host is out of touch and cannot tell whether the request is allowed',
      );
}

function authenticate(
  { route, inForce, metadata }: Pick<AdmittedRequest, 'route' | 'inForce' | 'metadata'>,
  configurationTracker: ConfigurationTracker,
): Result<RelayWorkspace | undefined, Failure> {
  const needsKey = !route.isPublic && inForce.configuration.workspaces !== undefined;
  if (!needsKey) return ok(undefined);
  if (metadata.apiKey === undefined) return refuse('unauthenticated', 'the request has no key');
  const workspace = inForce.findWorkspace(metadata.apiKey);
  if (workspace === undefined)
    return deny(configurationTracker, 'unauthenticated', 'the key is unknown');
  if (!configurationTracker.mayAcceptKeys()) {
    return refuse('draining', 'this host cannot tell whether the key is still valid');
  }
  return ok(workspace);
}

/**
 * Decides whether a request may be served, by the configuration in force and by how long ago that
 * was confirmed.
 *
 * @param call - the request
 * @param metadata - what it says of itself
 * @param ports - see {@link AdmissionPorts}
 * @returns the request with its route, workspace and times, or why it is refused
 * @internal
 */
export function admitCall(
  call: CallerRequest,
  metadata: RequestMetadata,
  { clock, random, configurationTracker }: AdmissionPorts,
): Result<AdmittedRequest, Failure> {
  const arrivedAt = clock.now();
  const inForce = configurationTracker.current();
  if (inForce === undefined) return refuse('draining', 'this host knows no configuration yet');
  if (call.body.length > inForce.configuration.limits.maxBodyBytes) {
    return refuse('body-too-large', 'the body is longer than allowed');
  }
  const route = inForce.routes.findRoute(metadata.host, call.target);
  if (route === undefined) return deny(configurationTracker, 'not-found', 'no route matches');
  const workspace = authenticate({ route, inForce, metadata }, configurationTracker);
  if (workspace.isErr()) return err(workspace.error);
  const poolId = choosePool(route, random);
  if (poolId === undefined) return refuse('no-backend-server', 'the route has no pool');
  const patienceMs = metadata.remainingMs ?? route.timeoutMs;
  return ok({
    call,
    metadata,
    inForce,
    route,
    workspace: workspace.value,
    poolId,
    rank: inForce.ranks.findRank(route, workspace.value),
    arrivedAt,
    endAt: arrivedAt + Math.min(patienceMs, route.timeoutMs),
    streamEndAt: arrivedAt + patienceMs,
  });
}
