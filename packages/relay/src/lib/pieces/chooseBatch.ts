import type { AvailabilityZoneId } from '@endiveferry/base';

import type { StageCapacity } from '../RelayConfiguration.js';
import { estimateCallMs, estimateSoloMs } from './estimateCallMs.js';
import type { EstimateWaitMs } from './RankWait.js';
import type { WaitingGroup } from './WaitingGroup.js';

/**
 * What one rank is worth in waiting time, in milliseconds: a request of a less urgent rank goes
 * first only if its target is nearer by more than this.
 */
const RANK_STEP_MS = 50;
/** The same in a crowd, where not all can meet their targets: urgent ranks go first. */
const CROWDED_RANK_STEP_MS = 300;
/**
 * Part of a full round of calls that may wait before calls are filled whatever it costs their first
 * groups: from then on throughput decides, not the time of one call.
 */
const FULL_ROUND_SHARE = 0.5;

/**
 * How long a group waits for a replica near its inputs, in milliseconds for each megabyte that
 * another one would fetch from another availability zone.
 */
const HOLD_MB_MS = 200;
const MAX_HOLD_MS = 600;
const BYTES_PER_MB = 1_000_000;
/** A group that must start within this time, in milliseconds, takes any replica. */
const HURRY_MS = 50;
/**
 * The same before its first stage, where nothing is known yet of the waits that come later: only
 * requests whose targets are seconds away wait for a replica near their engine.
 */
const ENTRY_HURRY_MS = 800;
/** Inputs that are given up sooner than this, in milliseconds, make their group go first. */
const EXPIRY_MARGIN_MS = 1_000;

/**
 * Work that may wait at a following stage, in milliseconds, before no more is begun for it: about two
 * rounds of full calls. What waits before its first stage takes no room and does not expire.
 */
const MAX_FOLLOWING_WAIT_MS = 850;
/** Part of the waiting time at a following stage that an urgent enough group has to expect. */
const FOLLOWING_WAIT_SHARE = 2;

/** A replica that could take a call now. @public */
export interface FreeReplica {
  readonly availabilityZone: AvailabilityZoneId;
  /** Its time for a call against what the configuration says; above 1 is slower. */
  readonly slowness: number;
  readonly freeBytes: number;
}

/** What a call is chosen from. @public */
export interface BatchChoice<Group extends WaitingGroup> {
  readonly waiting: readonly Group[];
  readonly capacity: StageCapacity;
  readonly replica: FreeReplica;
  /** Replicas in use, this one included. */
  readonly replicaCount: number;
  readonly now: number;
  /** Availability zones with replicas in use. */
  readonly zones: ReadonlySet<AvailabilityZoneId>;
  /** Availability zones of other replicas that could take a call at this moment, and are asked next. */
  readonly idleZones: ReadonlySet<AvailabilityZoneId>;
  /** Time that work of a rank waits at the pool of a following stage, in milliseconds; Infinity for all. */
  readonly estimateWaitMs: EstimateWaitMs;
}

/** The pieces of one group that go into a call. @public */
export interface BatchPart<Group extends WaitingGroup> {
  readonly waiting: Group;
  readonly pieces: readonly number[];
}

const countPieces = (groups: readonly { readonly pieces: readonly number[] }[]) =>
  groups.reduce((sum, { pieces }) => sum + pieces.length, 0);

/**
 * Orders waiting groups: those that can still meet their target first, by how soon they must start,
 * with a head start for urgent ranks; then the late ones, by rank and by when they end.
 *
 * @param waiting - the groups
 * @param findLatestStart - the latest time at which a group can start and meet its target
 * @param now - monotonic time, in milliseconds
 * @param rankStepMs - head start of each rank before the next, in milliseconds
 * @returns the groups, first to go first
 * @public
 */
export function orderGroups<Group extends WaitingGroup>(
  waiting: readonly Group[],
  findLatestStart: (waiting: Group) => number,
  now: number,
  rankStepMs: number,
): readonly Group[] {
  const entries = waiting.map((entry) => {
    const { group } = entry;
    const latestStartAt = findLatestStart(entry);
    const startBefore = group.inputsExpireAt - EXPIRY_MARGIN_MS;
    const isLate = latestStartAt < now && startBefore > now;
    const key = isLate
      ? group.endAt
      : Math.min(latestStartAt + group.rank * rankStepMs, startBefore);
    return { entry, isLate, key };
  });
  entries.sort((a, b) => {
    if (a.isLate !== b.isLate) return a.isLate ? 1 : -1;
    const byRank = a.isLate ? a.entry.group.rank - b.entry.group.rank : 0;
    return byRank !== 0 ? byRank : a.key - b.key;
  });
  return entries.map(({ entry }) => entry);
}

/** Whether a group should rather wait for a replica near its inputs, or near the engine. */
function isHeld<Group extends WaitingGroup>(
  { group, arrivedAt }: Group,
  choice: BatchChoice<Group>,
  latestStartAt: number,
): boolean {
  const { homeZone, movedBytes, isEntry } = group;
  const isAway = homeZone !== undefined && homeZone !== choice.replica.availabilityZone;
  if (!isAway || !choice.zones.has(homeZone)) return false;
  if (choice.idleZones.has(homeZone)) return true;
  const holdMs = Math.min(MAX_HOLD_MS, (movedBytes / BYTES_PER_MB) * HOLD_MB_MS);
  const hurryMs = isEntry ? ENTRY_HURRY_MS : HURRY_MS;
  return choice.now - arrivedAt < holdMs && latestStartAt - choice.now > hurryMs;
}

/** Whether the stages that follow have more than enough to do. */
function isBlocked<Group extends WaitingGroup>(
  { group }: Group,
  choice: BatchChoice<Group>,
): boolean {
  if (group.inputsExpireAt - EXPIRY_MARGIN_MS < choice.now) return false;
  return group.followers.some(
    (poolId) => choice.estimateWaitMs(poolId, Infinity) > MAX_FOLLOWING_WAIT_MS,
  );
}

/**
 * Chooses the pieces of the next call of a free replica. The load that it answers: many requests
 * bring a few pieces each, a call has a large fixed time, and requests with near targets arrive
 * among requests that could wait.
 *
 * @param choice - see {@link BatchChoice}
 * @returns the parts of the call; empty when it is better to wait
 * @public
 */
export function chooseBatch<Group extends WaitingGroup>(
  choice: BatchChoice<Group>,
): readonly BatchPart<Group>[] {
  const { waiting, capacity, replica, now } = choice;
  const soloMs = ({ pieces }: Group) => estimateSoloMs(capacity, pieces.length, replica.slowness);
  // Waiting at the stages that follow is to be expected, so the target is missed that much earlier.
  const findLatestStart = (entry: Group) =>
    entry.group.targetEndAt -
    soloMs(entry) -
    FOLLOWING_WAIT_SHARE *
      entry.group.followers.reduce(
        (sum, poolId) => sum + choice.estimateWaitMs(poolId, entry.group.rank),
        0,
      );
  const isCrowded = countPieces(waiting) > choice.replicaCount * capacity.batch * FULL_ROUND_SHARE;
  const rankStepMs = isCrowded ? CROWDED_RANK_STEP_MS : RANK_STEP_MS;
  const ordered = orderGroups(waiting, findLatestStart, now, rankStepMs);
  const parts: BatchPart<Group>[] = [];
  let freePieces = capacity.batch;
  let freeBytes = replica.freeBytes;
  // The call must end before this for the groups in it that can still meet their targets.
  let callEndAt = Infinity;

  for (const entry of ordered) {
    const { group, pieces } = entry;
    if (isBlocked(entry, choice)) continue;
    if (isHeld(entry, choice, findLatestStart(entry))) continue;
    const fitting = Math.min(pieces.length, freePieces, Math.floor(freeBytes / group.resultBytes));
    const isFirst = parts.length === 0;
    // A group is split only when no call can hold it: two calls for one request cost it the later one.
    const maySplit = isFirst && pieces.length > capacity.batch;
    const count = fitting === pieces.length || maySplit ? fitting : 0;
    if (count === 0) continue;
    const taken = capacity.batch - freePieces + count;
    const endAt = now + estimateCallMs(capacity, taken, replica.slowness);
    const canMeetTarget = now + soloMs(entry) <= group.targetEndAt;
    const nextCallEndAt = canMeetTarget ? Math.min(callEndAt, group.targetEndAt) : callEndAt;
    if (!isFirst && !isCrowded && endAt > nextCallEndAt) continue;
    callEndAt = nextCallEndAt;
    parts.push({ waiting: entry, pieces: pieces.slice(0, count) });
    freePieces -= count;
    freeBytes -= count * group.resultBytes;
    if (freePieces === 0) break;
  }
  return parts;
}
