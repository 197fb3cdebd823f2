import {
  computeRendezvousOrder,
  type AvailabilityZoneId,
  type BackendServerId,
  type Random,
} from '@endiveferry/base';

import type { PrefixIndex } from './createPrefixIndex.js';
import type { ServerState } from './createServerState.js';

/** Candidates drawn at random; few enough that hosts with the same reports choose apart. */
const RANDOM_CANDIDATES = 2;
/** What a call to another availability zone costs, in milliseconds. */
const OTHER_ZONE_COST_MS = 3;
/** The part of a call's service that a slot of another host's costs: that host may want it. */
const OTHER_SLOT_COST = 0.25;
/** Calls that may wait at the server where prompts that begin alike meet. */
const TOLERATED_QUEUE = 1;
/** A miss costs its own reading of the prompt, and about one more by what it evicts. */
const MISS_FACTOR = 2;
/** A server is slow when its calls take this many times longer than is typical. */
const SLOW_FACTOR = 1.5;
/** The part of a call's service that a fully loaded server costs beside its queue. */
const LOAD_COST = 0.1;

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
  /** This host's own slots at each server. */
  readonly ownSlots: ReadonlyMap<BackendServerId, number>;
  /** What a fully cached prompt saves, in milliseconds. */
  readonly prefixSavingMs: number;
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

/**
 * Finds the server at which prompts that begin alike meet: the first of their rendezvous order that
 * has room, or at most a short queue. A prefix that half of the servers hold partitions nothing.
 */
function findPreferred(
  eligible: readonly ServerState[],
  request: ChoiceRequest,
  prefixIndex: PrefixIndex,
): ServerState | undefined {
  const ids = eligible.map((server) => server.id);
  const key = prefixIndex.findPartitionKey(ids, request.prefixes);
  if (key === undefined) return undefined;
  const byId = new Map(eligible.map((server) => [server.id, server]));
  return computeRendezvousOrder(key, ids)
    .flatMap((id) => byId.get(id) ?? [])
    .find((server) => server.load() < server.capacity() + TOLERATED_QUEUE);
}

function drawCandidates(
  eligible: readonly ServerState[],
  request: ChoiceRequest,
  preferred: ServerState | undefined,
  options: ChoiceOptions,
): readonly ServerState[] {
  const { random, prefixIndex, ownSlots } = options;
  const holders = new Set(prefixIndex.findHolders(request.prefixes));
  const candidates = new Set(
    eligible.filter((server) => ownSlots.has(server.id) || holders.has(server.id)),
  );
  for (let draw = 0; draw < RANDOM_CANDIDATES; draw += 1) {
    const drawn = eligible[random.nextInteger(eligible.length)];
    if (drawn !== undefined) candidates.add(drawn);
  }
  if (preferred !== undefined) candidates.add(preferred);
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
  const preferred = findPreferred(eligible, request, options.prefixIndex);
  const candidates = drawCandidates(eligible, request, preferred, options);
  const latencies = eligible.flatMap((server) => server.latencyMs() ?? []);
  const typicalMs = latencies.length === 0 ? 1 : computeMean(latencies);

  // While slots are free everywhere, whose they are hardly matters.
  const saturation = Math.min(
    1,
    computeMean(eligible.map((server) => server.load() / server.capacity())),
  );
  const otherSlotMs = OTHER_SLOT_COST * saturation ** 4 * typicalMs;

  /** Other hosts send such prompts there as well, whether or not this host has heard of it. */
  function estimateHitShare(server: ServerState): number {
    if (server === preferred) return 1;
    return options.prefixIndex.findHitShare(server.id, request.prefixes);
  }

  function estimateCompletion(server: ServerState): number {
    const latencyMs = server.latencyMs() ?? typicalMs;
    // Small differences of running means are noise that would outweigh a cached prompt.
    const serviceMs = latencyMs > SLOW_FACTOR * typicalMs ? latencyMs : typicalMs;
    const capacity = server.capacity();
    const load = server.load();
    // A slot of this host's own is free for certain; a report may still count its last call.
    const isOwnSlot = server.running() < (options.ownSlots.get(server.id) ?? 0);
    const isNear = server.settings.availabilityZone === options.availabilityZone;
    const hitShare = estimateHitShare(server);
    // Rather one call waits where its prompt is cached than another server reads it all again.
    const toleratedQueue = server === preferred ? TOLERATED_QUEUE : 0;
    const queued = isOwnSlot ? 0 : Math.max(0, load + 1 - capacity - toleratedQueue);
    return (
      serviceMs +
      (queued / capacity) * serviceMs +
      (load / capacity) * LOAD_COST * typicalMs +
      (isOwnSlot ? 0 : otherSlotMs) +
      (isNear ? 0 : OTHER_ZONE_COST_MS) -
      MISS_FACTOR * hitShare * options.prefixSavingMs
    );
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
