/** Pieces of one stage of one kind of request. */
export interface StageDemand {
  /** The stage's pool, by its name in the load. */
  readonly pool: string;
  readonly after: readonly number[];
  /** Mean pieces of a request that has the stage. */
  readonly pieces: number;
  /** Part of the requests that have the stage. */
  readonly share: number;
  readonly resultBytes: number;
  /** Time of a piece against the pool's. */
  readonly workFactor: number;
}

/** One kind of request. */
export interface RequestKind {
  readonly name: string;
  readonly perSecond: number;
  readonly rank: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  readonly worth: number;
  readonly lateWorth: number;
  /** Time from the last stage to the first event, in milliseconds. */
  readonly firstEventMs: number;
  readonly stages: readonly StageDemand[];
}

/** Replicas of one stage's pool. */
export interface StagePool {
  readonly name: string;
  /** The availability zone of each replica. */
  readonly zones: readonly string[];
  readonly batch: number;
  readonly callMs: number;
  readonly pieceMs: number;
  readonly roomBytes: number;
}

/** A time in which more requests come. */
export interface LoadBurst {
  readonly kind: string | undefined;
  readonly factor: number;
  readonly fromMs: number;
  readonly toMs: number;
}

/** What is replayed against the decisions. */
export interface StageLoad {
  readonly name: string;
  readonly kinds: readonly RequestKind[];
  readonly pools: readonly StagePool[];
  readonly bursts: readonly LoadBurst[];
  readonly lengthMs: number;
  /** Requests that come together, on average. */
  readonly clump: number;
}

const small = (pool: string): StageDemand => ({
  pool,
  after: [],
  pieces: 1,
  share: 1,
  resultBytes: 8_000,
  workFactor: 0.3,
});

const large = (pool: string, pieces: number, share: number): StageDemand => ({
  pool,
  after: [],
  pieces,
  share,
  resultBytes: 800_000,
  workFactor: 1,
});

const middle = (pool: string, after: number, pieces: number, resultBytes: number): StageDemand => ({
  pool,
  after: [after],
  pieces,
  share: 1,
  resultBytes,
  workFactor: 1,
});

/** A crate maker on a day with three bursts: letters, then chats, then everything. */
export const crateLoad: StageLoad = {
  name: 'crate',
  lengthMs: 34_000,
  clump: 3,
  kinds: [
    {
      name: 'letter',
      perSecond: 4.6,
      rank: 2,
      targetMs: 5_000,
      deadlineMs: 20_000,
      worth: 3.9,
      lateWorth: 0.86,
      firstEventMs: 250,
      stages: [
        large('pack', 1.5, 0.4),
        small('pack'),
        middle('courier', 1, 8, 60_000),
        middle('owner', 2, 6, 6_000),
      ],
    },
    {
      name: 'chat',
      perSecond: 7.2,
      rank: 1,
      targetMs: 2_500,
      deadlineMs: 15_000,
      worth: 1.4,
      lateWorth: 0.21,
      firstEventMs: 60,
      stages: [small('pack'), middle('courier', 0, 8, 60_000), middle('owner', 1, 6, 6_000)],
    },
    {
      name: 'tag',
      perSecond: 6.6,
      rank: 0,
      targetMs: 2_000,
      deadlineMs: 4_000,
      worth: 1.1,
      lateWorth: 0.064,
      firstEventMs: 80,
      stages: [large('pack', 2.5, 0.7)],
    },
  ],
  pools: [
    {
      name: 'pack',
      zones: ['a', 'b', 'c'],
      batch: 7,
      callMs: 240,
      pieceMs: 29.7,
      roomBytes: 8_400_000,
    },
    {
      name: 'courier',
      zones: ['a', 'a', 'b', 'c'],
      batch: 23,
      callMs: 240,
      pieceMs: 8.93,
      roomBytes: 2_477_000,
    },
    {
      name: 'owner',
      zones: ['a', 'a', 'b', 'c'],
      batch: 17,
      callMs: 240,
      pieceMs: 11.76,
      roomBytes: 178_500,
    },
  ],
  bursts: [
    { kind: 'letter', factor: 2.4, fromMs: 4_600, toMs: 11_500 },
    { kind: 'chat', factor: 2.2, fromMs: 14_000, toMs: 20_800 },
    { kind: undefined, factor: 1.7, fromMs: 25_000, toMs: 29_000 },
  ],
};

/** A mill on a day with three bursts: plans, then queries, then everything. */
export const millLoad: StageLoad = {
  name: 'mill',
  lengthMs: 34_000,
  clump: 3,
  kinds: [
    {
      name: 'plan',
      perSecond: 7.6,
      rank: 0,
      targetMs: 1_200,
      deadlineMs: 15_000,
      worth: 5,
      lateWorth: 0.3,
      firstEventMs: 140,
      stages: [large('creel', 2.5, 0.7)],
    },
    {
      name: 'query',
      perSecond: 6.9,
      rank: 1,
      targetMs: 2_000,
      deadlineMs: 15_000,
      worth: 1.2,
      lateWorth: 0.18,
      firstEventMs: 40,
      stages: [small('creel'), middle('mill', 0, 4, 60_000), middle('delivery', 1, 6, 6_000)],
    },
    {
      name: 'tag',
      perSecond: 12.3,
      rank: 2,
      targetMs: 4_000,
      deadlineMs: 6_000,
      worth: 0.12,
      lateWorth: 0.026,
      firstEventMs: 60,
      stages: [
        large('creel', 1.5, 0.4),
        small('creel'),
        middle('mill', 1, 4, 60_000),
        middle('delivery', 2, 6, 6_000),
      ],
    },
  ],
  pools: [
    {
      name: 'creel',
      zones: ['a', 'a', 'b', 'c'],
      batch: 10,
      callMs: 240,
      pieceMs: 20.4,
      roomBytes: 11_667_000,
    },
    {
      name: 'mill',
      zones: ['a', 'a', 'b', 'c'],
      batch: 21,
      callMs: 240,
      pieceMs: 9.83,
      roomBytes: 2_275_000,
    },
    {
      name: 'delivery',
      zones: ['a', 'a', 'b', 'c'],
      batch: 31,
      callMs: 240,
      pieceMs: 6.62,
      roomBytes: 335_800,
    },
  ],
  bursts: [
    { kind: 'plan', factor: 2.2, fromMs: 4_900, toMs: 10_900 },
    { kind: 'query', factor: 2.2, fromMs: 15_000, toMs: 20_800 },
    { kind: undefined, factor: 1.7, fromMs: 25_000, toMs: 29_000 },
  ],
};

/**
 * Scales a load.
 *
 * @param load - the load
 * @param factor - how many times as many requests come
 * @returns the scaled load
 */
export function scaleLoad(load: StageLoad, factor: number): StageLoad {
  return {
    ...load,
    kinds: load.kinds.map((kind) => ({ ...kind, perSecond: kind.perSecond * factor })),
  };
}
