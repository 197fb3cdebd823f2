import type { ServerLimits } from '@endiveferry/admission';
import {
  computeRendezvousOrder,
  type AvailabilityZoneId,
  type BackendServerId,
} from '@endiveferry/base';

import { checkBackend, type ExclusionState } from './checkBackend.js';
import { countTokens } from './countTokens.js';
import type { Backend } from './createBackends.js';
import { listSharedParts } from './listSharedParts.js';
import type { PromptCache } from './createPromptCache.js';
import type { PromptPart } from '../ports.js';

/** Cost of a fully used server over an idle one, in milliseconds of expected delay. */
const FULL_LOAD_COST_MS = 120;
/** Share of its full load from which on a pool uses cold servers before warm ones. */
const LOADED_SHARE = 0.5;
/** Cost of each request that waits at a server, in milliseconds. */
const WAITING_COST_MS = 40;
/** Cost of a server at which every call fails, in milliseconds. */
const FAILURE_COST_MS = 2_000;
/** Cost of a server that gets almost none of its normal work yet, in milliseconds. */
const RAMP_COST_MS = 200;
/** Cost of a call to another availability zone, in milliseconds: 1 to 2 ms in each direction. */
const OTHER_ZONE_COST_MS = 4;
/**
 * Cost of reading a shared prompt token again, in milliseconds of waiting. Much more than the read
 * time, because reading also slows all other requests of the engine and uses paid engine time.
 */
const SHARED_TOKEN_COST_MS = 0.15;
/**
 * Cost of fetching a megabyte of stage results from another availability zone, in milliseconds.
 * Traffic between zones is expensive enough to wait for an engine in the same zone while targets
 * allow it.
 */
const REMOTE_MB_COST_MS = 250;
const BYTES_PER_MB = 1_000_000;
/** Cost of each request that an engine generates for, in milliseconds: each slows every step. */
const GENERATING_COST_MS = 2;
/**
 * Largest random cost, in milliseconds, so that hosts with equal state choose different servers.
 */
const MAX_JITTER_COST_MS = 2;

/** Inputs for choosing a backend server. @public */
export interface BackendChoice extends ExclusionState {
  readonly candidates: readonly Backend[];
  readonly availabilityZone: AvailabilityZoneId;
  readonly limits: Pick<ServerLimits, 'isLimited' | 'maySend' | 'isRefreshDue' | 'backoffs'>;
  /** Returns a random number from 0 to 1. */
  readonly jitter: () => number;
}

/** Inputs for choosing an engine. @public */
export interface EngineChoice extends BackendChoice {
  readonly promptParts: readonly PromptPart[];
  readonly cache: PromptCache;
  /** The stage results that it reads, by availability zone. */
  readonly inputs: readonly InputBytes[];
  /** Returns the number of unread prompt tokens of other hosts' requests at an engine. */
  readonly countOtherHostsTokens: (serverId: BackendServerId) => number;
}

/** Size of the stage results that are stored in one availability zone. @public */
export interface InputBytes {
  readonly availabilityZone: AvailabilityZoneId;
  readonly bytes: number;
}

function computeLoadMs(backend: Backend): number {
  const slots = Math.max(1, backend.server.slots);
  const report = backend.reportedLoad();
  const running = Math.max(backend.running(), report?.running ?? 0);
  const queueMs = (running / slots) * FULL_LOAD_COST_MS + (report?.waiting ?? 0) * WAITING_COST_MS;
  return queueMs * backend.slowness() + backend.callMs();
}

function computeBaseCost(backend: Backend, choice: BackendChoice): number {
  const isRemote = backend.server.availabilityZone !== choice.availabilityZone;
  return (
    computeLoadMs(backend) +
    backend.failureShare() * FAILURE_COST_MS +
    (isRemote ? OTHER_ZONE_COST_MS : 0) +
    choice.jitter() * MAX_JITTER_COST_MS
  );
}

/** Whether the warm servers are so busy that cold ones should be used as far as they may be. */
function isPoolLoaded({ candidates, warmUps }: BackendChoice): boolean {
  if (warmUps === undefined) return false;
  const warm = candidates.filter(({ server }) => !warmUps.isCold(server.serverId));
  if (warm.length === candidates.length) return false;
  const loadMs = warm.reduce((sum, backend) => sum + computeLoadMs(backend), 0);
  return loadMs >= warm.length * FULL_LOAD_COST_MS * LOADED_SHARE;
}

function chooseLowestCost(
  choice: BackendChoice,
  computeCost: (backend: Backend) => number,
): Backend | undefined {
  let best: { readonly backend: Backend; readonly cost: number } | undefined;
  const isLoaded = isPoolLoaded(choice);
  // Taken when there is no other one, so that ramps do not cause rejections.
  let bestRamping = best;
  for (const backend of choice.candidates) {
    const exclusion = checkBackend(backend, choice);
    if (exclusion !== undefined && exclusion !== 'ramping-up') continue;
    const cost = computeCost(backend);
    if (exclusion !== undefined) {
      const rampCost = cost + (1 - backend.rampShare()) * RAMP_COST_MS;
      if (bestRamping === undefined || rampCost < bestRamping.cost)
        bestRamping = { backend, cost: rampCost };
      continue;
    }
    if (choice.limits.isRefreshDue(backend.server.serverId)) return backend;
    if (isLoaded && choice.warmUps?.isCold(backend.server.serverId) === true) return backend;
    if (best === undefined || cost < best.cost) best = { backend, cost };
  }
  return (best ?? bestRamping)?.backend;
}

/**
 * Chooses the server of a plain service with the lowest cost by load and recent failures. Meant for
 * short calls with a target latency of a few service times, and for servers that fail a part of
 * their calls although their health probes succeed.
 *
 * @param choice - see {@link BackendChoice}
 * @returns the server; undefined when none is usable
 * @public
 */
export function choosePlainServer(choice: BackendChoice): Backend | undefined {
  return chooseLowestCost(choice, (backend) => computeBaseCost(backend, choice));
}

/**
 * Chooses the engine with the lowest expected start time, given its cached prompt parts. Meant for
 * prompts that share long parts, where reading a part again costs as much as waiting.
 *
 * @param choice - see {@link EngineChoice}
 * @returns the engine; undefined when none is usable
 * @public
 */
export function chooseEngine(choice: EngineChoice): Backend | undefined {
  const { promptParts, cache, inputs } = choice;
  const promptTokens = countTokens(promptParts);
  const sharedParts = listSharedParts(promptParts);
  const sharedTokens = countTokens(sharedParts);
  // Most requests for the shared parts of a limited engine have to go to another one.
  const unlimited = choice.candidates.filter(
    ({ server }) =>
      !choice.limits.isLimited(server.serverId) && choice.warmUps?.isCold(server.serverId) !== true,
  );
  const preferredId = findPreferredEngine(promptParts, unlimited)?.server.serverId;
  return chooseLowestCost(choice, (backend) => {
    const { serverId, availabilityZone } = backend.server;
    const isPreferred = serverId === preferredId;
    // The preferred engine counts as having cached all shared parts, because other hosts also send
    // it the requests that share them.
    const cached = isPreferred ? sharedTokens : cache.countCached(serverId, sharedParts);
    const missingShared = sharedTokens - cached;
    const ahead = backend.pendingTokens() + choice.countOtherHostsTokens(serverId);
    const remoteBytes = inputs.reduce(
      (sum, input) => sum + (input.availabilityZone === availabilityZone ? 0 : input.bytes),
      0,
    );
    return (
      computeBaseCost(backend, choice) +
      (promptTokens - cached + ahead) * backend.tokenMs() +
      missingShared * SHARED_TOKEN_COST_MS +
      backend.running() * GENERATING_COST_MS * backend.slowness() +
      (remoteBytes / BYTES_PER_MB) * REMOTE_MB_COST_MS
    );
  });
}

/**
 * Finds the engine that requests with the same shared prompt parts are sent to. All hosts find the
 * same engine.
 *
 * @param promptParts - the parts of a request's prompt
 * @param candidates - the engines
 * @returns the engine; undefined for a prompt without shared parts, or when no engine is usable
 * @public
 */
export function findPreferredEngine(
  promptParts: readonly PromptPart[],
  candidates: readonly Backend[],
): Backend | undefined {
  // The last of the shared parts is the most specific.
  const shared = listSharedParts(promptParts).at(-1);
  if (shared === undefined) return undefined;
  const usable = new Map(
    candidates.flatMap((backend) =>
      backend.server.isLeaving ||
      backend.server.isEvacuated === true ||
      backend.maxRunning() === 0 ||
      backend.rampShare() < 1
        ? []
        : [[backend.server.serverId, backend] as const],
    ),
  );
  const [preferredId] = computeRendezvousOrder(shared.partId, [...usable.keys()]);
  return preferredId === undefined ? undefined : usable.get(preferredId);
}
