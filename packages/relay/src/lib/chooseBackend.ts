import {
  computeRendezvousOrder,
  type AvailabilityZoneId,
  type BackendServerId,
} from '@endiveferry/base';

import { countTokens } from './countTokens.js';
import type { Backend } from './createBackends.js';
import type { PromptCache } from './createPromptCache.js';
import type { PromptPart } from './ports.js';

/** Cost of a fully used server against an empty one, in milliseconds of expected delay. */
const FULL_LOAD_MS = 120;
/** Cost of each request that waits at a server, in milliseconds. */
const WAITING_MS = 40;
/** Cost of a server whose every call fails, in milliseconds. */
const FAILING_MS = 2_000;
/** Cost of a call to another availability zone, in milliseconds: two ways of a millisecond or two. */
const OTHER_ZONE_MS = 4;
/**
 * What a shared prompt token is worth that need not be read again, in milliseconds of waiting: much
 * more than its reading takes, because it is read at the cost of all others and paid for besides.
 */
const SHARED_TOKEN_MS = 0.15;
/**
 * Cost of fetching a megabyte of results from another availability zone, in milliseconds: traffic
 * between zones is dear enough to wait for an engine nearby while targets allow it.
 */
const REMOTE_MB_MS = 250;
const BYTES_PER_MB = 1_000_000;
/** Cost of each request that an engine generates for, in milliseconds: it slows every step. */
const GENERATING_MS = 2;
/** Random part of a cost, in milliseconds, so that hosts with equal views don't choose alike. */
const JITTER_MS = 2;

/** What a backend server is chosen by. @public */
export interface BackendChoice {
  readonly candidates: readonly Backend[];
  /** Servers that had the request already. */
  readonly tried: ReadonlySet<BackendServerId>;
  readonly availabilityZone: AvailabilityZoneId;
  /** From 0 to 1. */
  readonly jitter: () => number;
}

/** What an engine is chosen by. @public */
export interface EngineChoice extends BackendChoice {
  readonly promptParts: readonly PromptPart[];
  readonly cache: PromptCache;
  /** The results that it reads: how many bytes lie in which zone. */
  readonly inputs: readonly InputBytes[];
  /** Prompt tokens that other hosts' requests still have to be read there. */
  readonly countOtherTokens: (serverId: BackendServerId) => number;
}

/** Results that lie in one availability zone. @public */
export interface InputBytes {
  readonly availabilityZone: AvailabilityZoneId;
  readonly bytes: number;
}

function computeLoadMs(backend: Backend): number {
  const slots = Math.max(1, backend.server.slots);
  const report = backend.reportedLoad();
  const running = Math.max(backend.running(), report?.running ?? 0);
  return (running / slots) * FULL_LOAD_MS + (report?.waiting ?? 0) * WAITING_MS;
}

function computeBaseCost(backend: Backend, choice: BackendChoice): number {
  const isRemote = backend.server.availabilityZone !== choice.availabilityZone;
  return (
    computeLoadMs(backend) +
    backend.failureShare() * FAILING_MS +
    (isRemote ? OTHER_ZONE_MS : 0) +
    choice.jitter() * JITTER_MS
  );
}

function chooseCheapest(
  choice: BackendChoice,
  computeCost: (backend: Backend) => number,
): Backend | undefined {
  let best: { readonly backend: Backend; readonly cost: number } | undefined;
  for (const backend of choice.candidates) {
    const isUsable =
      !backend.server.isLeaving &&
      !choice.tried.has(backend.server.serverId) &&
      backend.running() < backend.maxRunning();
    if (!isUsable) continue;
    const cost = computeCost(backend);
    if (best === undefined || cost < best.cost) best = { backend, cost };
  }
  return best?.backend;
}

/**
 * Chooses a server of a plain service: the least loaded one that answers well. The load that it
 * answers: short calls with a target of a few service times, and servers that fail a part of them
 * while they look alive.
 *
 * @param choice - see {@link BackendChoice}
 * @returns the server; undefined when none may be used
 * @public
 */
export function choosePlainServer(choice: BackendChoice): Backend | undefined {
  return chooseCheapest(choice, (backend) => computeBaseCost(backend, choice));
}

/**
 * Chooses an engine: the one expected to start first, given what it has of the prompt. The load that
 * it answers: prompts that share long parts, where reading a part again costs as much as a wait.
 *
 * @param choice - see {@link EngineChoice}
 * @returns the engine; undefined when none may be used
 * @public
 */
export function chooseEngine(choice: EngineChoice): Backend | undefined {
  const { promptParts, cache, inputs } = choice;
  const promptTokens = countTokens(promptParts);
  const sharedParts = listSharedParts(promptParts);
  const sharedTokens = countTokens(sharedParts);
  const homeId = findPreferredEngine(promptParts, choice.candidates)?.server.serverId;
  return chooseCheapest(choice, (backend) => {
    const { serverId, availabilityZone } = backend.server;
    const isHome = serverId === homeId;
    // Other hosts send requests that share the part to its home, too.
    const cached = isHome ? sharedTokens : cache.countCached(serverId, sharedParts);
    const missingShared = sharedTokens - cached;
    const ahead = backend.pendingTokens() + choice.countOtherTokens(serverId);
    const remoteBytes = inputs.reduce(
      (sum, input) => sum + (input.availabilityZone === availabilityZone ? 0 : input.bytes),
      0,
    );
    return (
      computeBaseCost(backend, choice) +
      (promptTokens - cached + ahead) * backend.tokenMs() +
      missingShared * SHARED_TOKEN_MS +
      backend.running() * GENERATING_MS +
      (remoteBytes / BYTES_PER_MB) * REMOTE_MB_MS
    );
  });
}

/** The last part is the request's own. */
const listSharedParts = (promptParts: readonly PromptPart[]) => promptParts.slice(0, -1);

/**
 * Finds the engine where requests with a common part of their prompts meet; all hosts find the same.
 *
 * @param promptParts - the parts of a request's prompt
 * @param candidates - the engines
 * @returns the engine; undefined for a prompt that shares nothing, or when none may be used
 * @public
 */
export function findPreferredEngine(
  promptParts: readonly PromptPart[],
  candidates: readonly Backend[],
): Backend | undefined {
  // The last of the shared parts is the most particular.
  const shared = listSharedParts(promptParts).at(-1);
  if (shared === undefined) return undefined;
  const usable = new Map(
    candidates.flatMap((backend) =>
      backend.server.isLeaving || backend.maxRunning() === 0
        ? []
        : [[backend.server.serverId, backend] as const],
    ),
  );
  const [homeId] = computeRendezvousOrder(shared.partId, [...usable.keys()]);
  return homeId === undefined ? undefined : usable.get(homeId);
}
