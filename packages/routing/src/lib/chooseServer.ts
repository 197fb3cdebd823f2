import {
  computeRendezvousOrder,
  type AvailabilityZoneId,
  type BackendServerId,
  type Random,
} from '@endiveferry/base';

import type { PrefixIndex } from './createPrefixIndex.js';
import type { ServerState } from './createServerState.js';

/** Candidates drawn at random; few enough that hosts with the same reports choose apart. */
const RANDOM_CANDIDATES = 3;
/** Candidates from the rendezvous order of the prompt's first block. */
const RENDEZVOUS_CANDIDATES = 2;
/** What a call to another availability zone costs, in milliseconds. */
const OTHER_ZONE_COST_MS = 3;
/** The part of a call's service that a fully cached prompt saves. */
const CACHED_PREFIX_SAVING = 0.5;
/** A holder of the prefix is passed over when it is busier than the mean by this factor. */
const MAX_LOAD_FACTOR = 1.25;

/**
 * What a call needs of its backend server.
 *
 * @public
 */
export interface ChoiceRequest {
  readonly model?: string;
  /** Names of the prompt's prefixes, shortest first. */
  readonly prefixes: readonly string[];
  /** Servers that this call already failed on; used only when there is no other. */
  readonly excluded: ReadonlySet<BackendServerId>;
}

/**
 * Options of a choice.
 *
 * @internal
 */
export interface ChoiceOptions {
  readonly servers: readonly ServerState[];
  readonly availabilityZone: AvailabilityZoneId;
  readonly prefixIndex: PrefixIndex;
  readonly random: Random;
}

function listEligible(
  servers: readonly ServerState[],
  request: ChoiceRequest,
): readonly ServerState[] {
  const usable = servers.filter(
    (server) =>
      !server.isLeaving() &&
      server.health.maxConcurrency() > server.running() &&
      (request.model === undefined || server.hasModel(request.model)),
  );
  const untried = usable.filter((server) => !request.excluded.has(server.id));
  return untried.length > 0 ? untried : usable;
}

function drawCandidates(
  eligible: readonly ServerState[],
  request: ChoiceRequest,
  options: ChoiceOptions,
): readonly ServerState[] {
  const { random, prefixIndex } = options;
  const candidates = new Set<ServerState>();
  const find = (id: BackendServerId) => eligible.find((server) => server.id === id);
  for (let draw = 0; draw < RANDOM_CANDIDATES; draw += 1) {
    const drawn = eligible[random.nextInteger(eligible.length)];
    if (drawn !== undefined) candidates.add(drawn);
  }
  const [firstPrefix] = request.prefixes;
  if (firstPrefix === undefined) return [...candidates];
  const ids = eligible.map((server) => server.id);
  const preferred = computeRendezvousOrder(firstPrefix, ids).slice(0, RENDEZVOUS_CANDIDATES);
  for (const id of [...preferred, ...prefixIndex.findHolders(request.prefixes)]) {
    const server = find(id);
    if (server !== undefined) candidates.add(server);
  }
  return [...candidates];
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

/**
 * Chooses the backend server with the least expected completion time among a few candidates.
 *
 * @param request - what the call needs
 * @param options - see {@link ChoiceOptions}
 * @returns the server, or undefined when none may be used
 * @internal
 */
export function chooseServer(
  request: ChoiceRequest,
  options: ChoiceOptions,
): ServerState | undefined {
  const eligible = listEligible(options.servers, request);
  const candidates = drawCandidates(eligible, request, options);
  const latencies = eligible.flatMap((server) => server.latencyMs() ?? []);
  const typicalMs = latencies.length === 0 ? 1 : computeMean(latencies);
  const meanLoad = computeMean(eligible.map((server) => server.load() / server.capacity()));

  function estimateCompletion(server: ServerState): number {
    const serviceMs = server.latencyMs() ?? typicalMs;
    const load = server.load() / server.capacity();
    const distanceMs =
      server.settings.availabilityZone === options.availabilityZone ? 0 : OTHER_ZONE_COST_MS;
    const isOverloaded = load > meanLoad * MAX_LOAD_FACTOR + 1 / server.capacity();
    const hitShare = options.prefixIndex.findHitShare(server.id, request.prefixes);
    const savingMs = isOverloaded ? 0 : hitShare * CACHED_PREFIX_SAVING * typicalMs;
    return serviceMs * (1 + load) + distanceMs - savingMs;
  }

  let best: ServerState | undefined;
  let bestMs = Infinity;
  for (const server of candidates) {
    const completionMs = estimateCompletion(server);
    if (completionMs >= bestMs) continue;
    best = server;
    bestMs = completionMs;
  }
  return best;
}
