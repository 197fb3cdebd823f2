import {
  createNotRunFailure,
  type Clock,
  type Failure,
  type FailureReason,
  type PoolId,
  type Random,
} from '@endiveferry/base';
import type { CrashTracker } from '@endiveferry/routing';
import { err, ok, type Result } from 'neverthrow';

import { checkSuspects } from './checkSuspects.js';
import type {
  ConfigurationTracker,
  ActiveConfiguration,
} from '../store/createConfigurationTracker.js';
import { choosePool } from '../store/createRouteTable.js';
import { createSuspectIds, type SuspectIds } from './createSuspectIds.js';
import type { RequestMetadata, CallerRequest } from '../ports.js';
import type { RelayWorkspace, Route } from '../RelayConfiguration.js';

/**
 * Longest time since the configuration was confirmed, in milliseconds, for a host to reject an
 * unknown route or key. After that, a newer version may contain it.
 */
const MAX_CONFIRMATION_AGE_MS = 2_500;

/** A request that passed the admission check. @public */
export interface AdmittedRequest {
  readonly callerRequest: CallerRequest;
  readonly metadata: RequestMetadata;
  /** The configuration that was in force at its arrival. */
  readonly active: ActiveConfiguration;
  readonly route: Route;
  readonly workspace: RelayWorkspace | undefined;
  readonly suspectIds: SuspectIds;
  readonly poolId: PoolId;
  readonly rank: number;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic time by which the response must have started, in milliseconds. */
  readonly endAt: number;
  /** Monotonic time by which a stream that has started must end, in milliseconds. */
  readonly streamEndAt: number;
}

/** Options of {@link admitRequest}. @internal */
export interface AdmissionOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly configurationTracker: ConfigurationTracker;
  readonly crashes: Pick<CrashTracker, 'findBlockedPart' | 'hasSuspects'>;
}

const reject = (reason: FailureReason, detail: string) => err(createNotRunFailure(reason, detail));

/** Rejects with `draining` while a newer configuration might allow the request. */
function rejectIfConfirmed(
  configurationTracker: ConfigurationTracker,
  reason: 'not-found' | 'unauthenticated',
  detail: string,
) {
  return configurationTracker.confirmedAgeMs() <= MAX_CONFIRMATION_AGE_MS
    ? reject(reason, detail)
    : reject(
        'draining',
        'this host has a stale configuration and cannot tell whether the request is allowed',
      );
}

function authenticate(
  { route, active, metadata }: Pick<AdmittedRequest, 'route' | 'active' | 'metadata'>,
  configurationTracker: ConfigurationTracker,
): Result<RelayWorkspace | undefined, Failure> {
  const needsKey = !route.isPublic && active.configuration.workspaces !== undefined;
  if (!needsKey) return ok(undefined);
  if (metadata.apiKey === undefined) return reject('unauthenticated', 'the request has no key');
  const workspace = active.findWorkspace(metadata.apiKey);
  if (workspace === undefined)
    return rejectIfConfirmed(configurationTracker, 'unauthenticated', 'the key is unknown');
  if (!configurationTracker.mayAcceptKeys()) {
    return reject('draining', 'this host cannot tell whether the key is still valid');
  }
  return ok(workspace);
}

/**
 * Decides whether a request may be served, from the configuration in force and the time since it
 * was last confirmed.
 *
 * @param callerRequest - the request as received
 * @param metadata - its parsed metadata
 * @param options - see {@link AdmissionOptions}
 * @returns the request with its route, workspace and deadlines, or the reason for its rejection
 * @internal
 */
export function admitRequest(
  callerRequest: CallerRequest,
  metadata: RequestMetadata,
  { clock, random, configurationTracker, crashes }: AdmissionOptions,
): Result<AdmittedRequest, Failure> {
  const arrivedAt = clock.now();
  const active = configurationTracker.current();
  if (active === undefined) return reject('draining', 'this host has no configuration yet');
  if (callerRequest.body.length > active.configuration.limits.maxBodyBytes) {
    return reject('body-too-large', 'the body exceeds the size limit');
  }
  const route = active.routes.findRoute(metadata.host, callerRequest.target);
  if (route === undefined)
    return rejectIfConfirmed(
      configurationTracker,
      'not-found',
      'no route matches the host name and path',
    );
  const workspace = authenticate({ route, active, metadata }, configurationTracker);
  if (workspace.isErr()) return err(workspace.error);
  const suspectIds = createSuspectIds(callerRequest, metadata, workspace.value?.workspaceId);
  const crashFailure = checkSuspects(suspectIds, crashes);
  if (crashFailure !== undefined) return err(crashFailure);
  const poolId = choosePool(route, random);
  if (poolId === undefined) return reject('no-backend-server', 'the route has no pool');
  const remainingMs = metadata.remainingMs ?? route.timeoutMs;
  return ok({
    callerRequest,
    metadata,
    active,
    route,
    workspace: workspace.value,
    suspectIds,
    poolId,
    rank: active.ranks.findRank(route, workspace.value),
    arrivedAt,
    endAt: arrivedAt + Math.min(remainingMs, route.timeoutMs),
    streamEndAt: arrivedAt + remainingMs,
  });
}
