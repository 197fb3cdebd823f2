import {
  computeRendezvousOrder,
  type AvailabilityZoneId,
  type BackendServerId,
  type Random,
} from '@endiveferry/base';

import type { PrefixIndex } from './createPrefixIndex.js';
import type { ServerState } from './createServerState.js';

/** Random candidates; few, so that hosts with the same reports choose different servers. */
const RANDOM_CANDIDATES = 2;
/** Cost of a call to another availability zone. */
const OTHER_ZONE_COST_MS = 3;
/** Cost of using another host's slot, which that host may need, as a share of the service time. */
const OTHER_SLOT_COST_SHARE = 0.25;
/** Calls that may wait at the server preferred for a prompt prefix. */
const MAX_PREFERRED_QUEUE_CALLS = 1;
/** A cache miss costs one prefill, and about one more for the prefixes that it evicts. */
const MISS_FACTOR = 2;
/** A server counts as slow if its mean latency exceeds the typical one by this factor. */
const SLOW_FACTOR = 1.5;
/** Cost of a fully loaded server in addition to its queue, as a share of the service time. */
const LOAD_COST_SHARE = 0.1;

/**
 * Requirements of a call on its backend server.
 *
 * @public
 */
export interface ChoiceRequest {
  readonly model?: string;
  /** Hashes of the prompt's prefixes, shortest first. */
  readonly prefixes: readonly string[];
  /** Servers on which this call has failed; used only if there is no other. */
  readonly excluded: ReadonlySet<BackendServerId>;
}

/**
 * State on which the choice of a server depends.
 *
 * @internal
 */
export interface ChoiceOptions {
  readonly servers: readonly ServerState[];
  /** Number of this host's own slots at each server. */
  readonly ownSlots: ReadonlyMap<BackendServerId, number>;
  /** Time saved by a fully cached prompt, in milliseconds. */
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
  const notExcluded = usable.filter((server) => !request.excluded.has(server.id));
  return notExcluded.length > 0 ? notExcluded : usable;
}

/**
 * Finds the affinity target of prompts with a common prefix: the first server in rendezvous order
 * with free capacity or a short queue. Prefixes that at least half of the servers hold are skipped:
 * they do not partition the prompts.
 */
function findPreferredServer(
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
    .find((server) => server.load() < server.capacity() + MAX_PREFERRED_QUEUE_CALLS);
}

function selectCandidates(
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
 * Chooses the backend server with the lowest expected completion time among a few candidates.
 *
 * @param request - see {@link ChoiceRequest}
 * @param options - see {@link ChoiceOptions}
 * @returns the server, or undefined if none is eligible
 * @internal
 */
export function chooseServer(
  request: ChoiceRequest,
  options: ChoiceOptions,
): ServerState | undefined {
  const eligible = listEligible(options.servers, request);
  const preferred = findPreferredServer(eligible, request, options.prefixIndex);
  const candidates = selectCandidates(eligible, request, preferred, options);
  const latencies = eligible.flatMap((server) => server.latencyMs() ?? []);
  const typicalMs = latencies.length === 0 ? 1 : computeMean(latencies);

  // The owner of a slot hardly matters while all servers have free slots.
  const saturation = Math.min(
    1,
    computeMean(eligible.map((server) => server.load() / server.capacity())),
  );
  const otherSlotCostMs = OTHER_SLOT_COST_SHARE * saturation ** 4 * typicalMs;

  /** The preferred server counts as a hit: other hosts send such prompts there as well. */
  function estimateHitRatio(server: ServerState): number {
    if (server === preferred) return 1;
    return options.prefixIndex.computeHitRatio(server.id, request.prefixes);
  }

  function estimateCompletion(server: ServerState): number {
    const latencyMs = server.latencyMs() ?? typicalMs;
    // Small differences between running means are noise that would outweigh a cached prompt.
    const serviceMs = latencyMs > SLOW_FACTOR * typicalMs ? latencyMs : typicalMs;
    const capacity = server.capacity();
    const load = server.load();
    // An own slot is certainly free, though the load report may still count its last call.
    const isOwnSlot = server.running() < (options.ownSlots.get(server.id) ?? 0);
    const isSameZone = server.settings.availabilityZone === options.availabilityZone;
    const hitRatio = estimateHitRatio(server);
    // A short wait where the prompt is cached costs less than a full prefill on another server.
    const allowedQueue = server === preferred ? MAX_PREFERRED_QUEUE_CALLS : 0;
    const queued = isOwnSlot ? 0 : Math.max(0, load + 1 - capacity - allowedQueue);
    return (
      serviceMs +
      (queued / capacity) * serviceMs +
      (load / capacity) * LOAD_COST_SHARE * typicalMs +
      (isOwnSlot ? 0 : otherSlotCostMs) +
      (isSameZone ? 0 : OTHER_ZONE_COST_MS) -
      MISS_FACTOR * hitRatio * options.prefixSavingMs
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
