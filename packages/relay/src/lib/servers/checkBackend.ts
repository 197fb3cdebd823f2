import type { ServerLimits } from '@endiveferry/admission';
import type { BackendServerId } from '@endiveferry/base';

import type { Backend } from './createBackends.js';
import type { WarmUps } from './createWarmUps.js';

/** State that decides whether a server may be chosen. @public */
export interface ExclusionState {
  /** Servers at which the request was already attempted. */
  readonly attemptedIds: ReadonlySet<BackendServerId>;
  readonly limits: Pick<ServerLimits, 'maySend' | 'backoffs'>;
  /** The cold servers and this host's shares of them; by default none is cold. */
  readonly warmUps?: Pick<WarmUps, 'isCold' | 'maySend'> | undefined;
}

type ExclusionCheck = (backend: Backend, state: ExclusionState) => boolean;

/** Checked in this order, so that a lasting reason is reported before a passing one. */
const exclusionChecks = {
  leaving: ({ server }) => server.isLeaving,
  evacuated: ({ server }) => server.isEvacuated === true,
  attempted: ({ server }, { attemptedIds }) => attemptedIds.has(server.serverId),
  backoff: ({ server }, { limits }) => limits.backoffs.findRemainingMs(server.serverId) > 0,
  busy: (backend) => backend.running() >= backend.maxRunning(),
  'warming-up': ({ server }, { warmUps }) => warmUps?.maySend(server.serverId) === false,
  limited: ({ server }, { limits }) => !limits.maySend(server.serverId),
  // Last, because a server that only its ramp excludes is chosen when there is no other one.
  'ramping-up': (backend) => !backend.hasRampRoom() && backend.isRampBinding(),
} as const satisfies Readonly<Record<string, ExclusionCheck>>;

/**
 * Reason why a server cannot be chosen.
 *
 * - `leaving`: it gets no new requests, by its entry or by its own word.
 * - `evacuated`: its availability zone is evacuated.
 * - `attempted`: the request was already attempted there.
 * - `backoff`: it requested a backoff that has not ended.
 * - `busy`: this host runs as many calls there as its connections and its health allow.
 * - `warming-up`: it is cold, and this host has no share of its rate or has used it.
 * - `limited`: this host has used its share of the rate that the server named.
 * - `ramping-up`: it has started or recovered, and its ramp allows this host no further call.
 *
 * @public
 */
export type BackendExclusion = keyof typeof exclusionChecks;

const exclusions = Object.entries(exclusionChecks) as readonly (readonly [
  BackendExclusion,
  ExclusionCheck,
])[];

/**
 * Checks whether a server may be chosen. This is the only place that decides so: the choice, the
 * logs and explanations of it use the same reasons.
 *
 * @param backend - the server
 * @param state - see {@link ExclusionState}
 * @returns the first reason against it; undefined when it may be chosen
 * @public
 */
export function checkBackend(
  backend: Backend,
  state: ExclusionState,
): BackendExclusion | undefined {
  return exclusions.find(([, isExcluded]) => isExcluded(backend, state))?.[0];
}
