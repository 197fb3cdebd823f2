import type { AvailabilityZoneId } from '@endiveferry/base';

import type { StageCapacity } from '../RelayConfiguration.js';
import { estimateCallMs, estimateSoloMs } from './estimateCallMs.js';
import type { EstimateWaitMs } from '../RankWait.js';
import type { RankDemand } from './createRankDemand.js';
import type { WaitingGroup } from './WaitingGroup.js';

/**
 * Precedence of each rank over the next one, in milliseconds: a request of the less urgent rank
 * goes first only if it has to start earlier by more than this.
 */
const RANK_STEP_MS = 50;
/** The same under saturation, where not all targets can be met and urgent ranks take precedence. */
const SATURATED_RANK_STEP_MS = 300;
/**
 * Precedence of a rank over each less urgent one that yields to it under saturation, see
 * {@link RankDemand}, in milliseconds: more than the time that most groups wait.
 */
const YIELD_MS = 3_000;
/**
 * Fraction of a full round of calls above which the queue counts as saturated. Calls are then
 * filled even if their first groups miss their targets, because throughput matters more than the
 * duration of a single call.
 */
const SATURATED_ROUND_SHARE = 0.5;

/**
 * Maximum time that a group waits for a replica in its home zone, in milliseconds per megabyte that
 * another replica would transfer between availability zones.
 */
const HOLD_MS_PER_MB = 200;
/** Upper bound of that time, in milliseconds. */
const MAX_HOLD_MS = 600;
const BYTES_PER_MB = 1_000_000;
/** A group that must start within this time, in milliseconds, runs on any replica. */
const URGENT_START_MS = 50;
/**
 * The same for the first stage of a request, where the waiting times at later stages are not known
 * yet: only requests whose targets are seconds away wait for a replica near their engine.
 */
const ENTRY_URGENT_START_MS = 800;
/** A group whose inputs expire within this time, in milliseconds, has to start now. */
const EXPIRY_MARGIN_MS = 1_000;

/**
 * Queued work at a following stage, in milliseconds, above which no more work is started for it:
 * about two rounds of full calls. Requests held back before their first stage occupy no replica
 * memory and have no results that could expire.
 */
const MAX_FOLLOWING_WAIT_MS = 850;
/** Multiple of the estimated waiting time at the following stages that a group has to expect. */
const FOLLOWING_WAIT_FACTOR = 2;

/** A replica with a free slot. @public */
export interface FreeReplica {
  readonly availabilityZone: AvailabilityZoneId;
  /** Ratio of its call duration to the configured one; above 1 is slower. */
  readonly slowness: number;
  readonly freeBytes: number;
  /** Pieces up to which further groups join the first one; by default a full batch. */
  readonly maxPieces?: number;
}

/** Candidates and conditions for the choice of a batch. @public */
export interface BatchOptions<Group extends WaitingGroup> {
  /** The groups to choose from, see {@link listStartable}. */
  readonly startable: readonly Group[];
  /** Number of all waiting pieces, including those of groups that must not start yet. */
  readonly waitingPieces: number;
  readonly capacity: StageCapacity;
  readonly replica: FreeReplica;
  /** Replicas in use, this one included. */
  readonly replicaCount: number;
  readonly now: number;
  /** Availability zones with replicas in use. */
  readonly zones: ReadonlySet<AvailabilityZoneId>;
  /**
   * Availability zones of the other replicas with a free slot, for which a batch is chosen next.
   */
  readonly idleZones: ReadonlySet<AvailabilityZoneId>;
  /** Estimates the waiting time of a rank at the pool of a following stage, in milliseconds. */
  readonly estimateWaitMs: EstimateWaitMs;
  /** Demand by rank at the pool. */
  readonly demand: RankDemand;
}

/** The pieces of a group that are part of a call. @public */
export interface BatchPart<Group extends WaitingGroup> {
  readonly entry: Group;
  readonly pieces: readonly number[];
}

/** Times by which groups are sorted behind those of more urgent ranks. @public */
export interface RankPrecedence {
  /** Precedence of each rank over the next one, in milliseconds. */
  readonly rankStepMs: number;
  /** Finds the time by which a rank yields to others, in milliseconds. */
  readonly findYieldMs: (rank: number) => number;
}

/**
 * Sorts waiting groups by scheduling order. Groups that can still meet their target come first,
 * sorted by their latest start with a precedence for urgent ranks; late groups follow, sorted by
 * rank and then by deadline. Groups whose inputs expire soon are sorted by that time if it is
 * earlier.
 *
 * @param waiting - the groups
 * @param findLatestStart - returns the latest time at which a group can start and meet its target
 * @param now - monotonic time, in milliseconds
 * @param precedence - times by which ranks are sorted behind more urgent ones
 * @returns the groups, the next to start first
 * @public
 */
export function sortGroups<Group extends WaitingGroup>(
  waiting: readonly Group[],
  findLatestStart: (entry: Group) => number,
  now: number,
  { rankStepMs, findYieldMs }: RankPrecedence,
): readonly Group[] {
  const entries = waiting.map((entry) => {
    const { group } = entry;
    const latestStartAt = findLatestStart(entry);
    const startBefore = group.inputsExpireAt - EXPIRY_MARGIN_MS;
    const isLate = latestStartAt < now && startBefore > now;
    const key = isLate
      ? group.endAt
      : Math.min(latestStartAt + group.rank * rankStepMs, startBefore) + findYieldMs(group.rank);
    return { entry, isLate, key };
  });
  entries.sort((a, b) => {
    if (a.isLate !== b.isLate) return a.isLate ? 1 : -1;
    const byRank = a.isLate ? a.entry.group.rank - b.entry.group.rank : 0;
    return byRank !== 0 ? byRank : a.key - b.key;
  });
  return entries.map(({ entry }) => entry);
}

/** Returns whether a group should wait for a replica near its inputs or near its engine. */
function shouldWaitForHomeZone<Group extends WaitingGroup>(
  { group, arrivedAt }: Group,
  options: BatchOptions<Group>,
  latestStartAt: number,
): boolean {
  const { homeZone, movedBytes, isEntry } = group;
  const isRemote = homeZone !== undefined && homeZone !== options.replica.availabilityZone;
  if (!isRemote || !options.zones.has(homeZone)) return false;
  if (options.idleZones.has(homeZone)) return true;
  const holdMs = Math.min(MAX_HOLD_MS, (movedBytes / BYTES_PER_MB) * HOLD_MS_PER_MB);
  const urgentStartMs = isEntry ? ENTRY_URGENT_START_MS : URGENT_START_MS;
  return options.now - arrivedAt < holdMs && latestStartAt - options.now > urgentStartMs;
}

/**
 * Lists the groups that may start. A group waits while the queue of a following stage is too long,
 * unless its inputs expire soon. Work that yields to the group at this pool does not count: with it
 * urgent requests waited for tags that run after them (load flax: 0.16 of the queries rejected).
 *
 * @param waiting - the groups
 * @param conditions - the time, in milliseconds, the waiting times at following stages, and the
 * demand by rank
 * @returns the groups that may start, in the given order
 * @internal
 */
export function listStartable<Group extends WaitingGroup>(
  waiting: readonly Group[],
  { now, estimateWaitMs, demand }: Pick<BatchOptions<Group>, 'now' | 'estimateWaitMs' | 'demand'>,
): readonly Group[] {
  const isBlocked = ({ group }: Group) =>
    group.inputsExpireAt - EXPIRY_MARGIN_MS >= now &&
    group.followers.some(
      (poolId) => estimateWaitMs(poolId, demand.findLastPeer(group.rank)) > MAX_FOLLOWING_WAIT_MS,
    );
  return waiting.filter((entry) => !isBlocked(entry));
}

/**
 * Chooses the pieces of the next call to a free replica. It is designed for loads where requests
 * have a few pieces each, calls have a large fixed cost, and requests with near targets are mixed
 * with requests that can wait.
 *
 * @param options - see {@link BatchOptions}
 * @returns the parts of the call; empty when the replica should stay idle for now
 * @public
 */
export function chooseBatch<Group extends WaitingGroup>(
  options: BatchOptions<Group>,
): readonly BatchPart<Group>[] {
  const { startable, capacity, replica, now } = options;
  const soloMs = ({ pieces }: Group) => estimateSoloMs(capacity, pieces.length, replica.slowness);
  // A group has to start earlier by the time that it is expected to wait at the following stages.
  const findLatestStart = (entry: Group) =>
    entry.group.targetEndAt -
    soloMs(entry) -
    FOLLOWING_WAIT_FACTOR *
      entry.group.followers.reduce(
        (sum, poolId) => sum + options.estimateWaitMs(poolId, entry.group.rank),
        0,
      );
  const isSaturated =
    options.waitingPieces > options.replicaCount * capacity.batch * SATURATED_ROUND_SHARE;
  const findYieldMs = (rank: number) =>
    isSaturated ? options.demand.countPreceding(rank) * YIELD_MS : 0;
  const rankStepMs = isSaturated ? SATURATED_RANK_STEP_MS : RANK_STEP_MS;
  const sorted = sortGroups(startable, findLatestStart, now, { rankStepMs, findYieldMs });
  const parts: BatchPart<Group>[] = [];
  let freePieces = capacity.batch;
  let freeBytes = replica.freeBytes;
  // Latest end of the call at which all its groups that can still meet their targets do so.
  let callEndAt = Infinity;

  for (const entry of sorted) {
    const { group, pieces } = entry;
    if (shouldWaitForHomeZone(entry, options, findLatestStart(entry))) continue;
    const fitting = Math.min(pieces.length, freePieces, Math.floor(freeBytes / group.resultBytes));
    const isFirst = parts.length === 0;
    // A group is split only if it exceeds a full batch, because it is not done before its last
    // call.
    const maySplit = isFirst && pieces.length > capacity.batch;
    const count = fitting === pieces.length || maySplit ? fitting : 0;
    if (count === 0) continue;
    const batchSize = capacity.batch - freePieces + count;
    if (!isFirst && batchSize > (replica.maxPieces ?? Infinity)) continue;
    const endAt = now + estimateCallMs(capacity, batchSize, replica.slowness);
    const canMeetTarget = now + soloMs(entry) <= group.targetEndAt;
    const nextCallEndAt = canMeetTarget ? Math.min(callEndAt, group.targetEndAt) : callEndAt;
    if (!isFirst && !isSaturated && endAt > nextCallEndAt) continue;
    callEndAt = nextCallEndAt;
    parts.push({ entry, pieces: pieces.slice(0, count) });
    freePieces -= count;
    freeBytes -= count * group.resultBytes;
    if (freePieces === 0) break;
  }
  return parts;
}
