import type { Random } from '@endiveferry/base';
import type { Configuration } from '@endiveferry/settings';

import type { Fleet } from '../createFleet.js';
import type { Flow, Sample } from '../runLoad.js';
import type { RunSummary } from '../summarize.js';
import type { StandIns } from '../standins/startStandIns.js';

/** Experiments begin with light load for so long, as a reference, in milliseconds. */
export const UNLOADED_MS = 6_000;
/** Time for a change of load to settle before it is measured, in milliseconds. */
export const SETTLE_MS = 2_000;

/**
 * What a run left behind.
 *
 * @public
 */
export interface RunRecord {
  readonly samples: readonly Sample[];
  readonly summary: RunSummary;
  readonly standIns: StandIns;
  /** Answers a second that the engines could give, by the service time of the light phase. */
  readonly capacity: number;
  /** Requests a second offered during the light phase are within capacity; this is its end. */
  readonly unloadedMs: number;
  readonly durationMs: number;
  /** Retries and hedges against first tries; undefined where they are not counted. */
  readonly retryShare: number | undefined;
}

/**
 * A measured figure and the bound it is held to.
 *
 * @public
 */
export interface Target {
  readonly name: string;
  readonly value: number;
  readonly bound: number;
  readonly direction: 'at-least' | 'at-most';
  readonly isMet: boolean;
}

/** Something that happens during a run. @public */
export interface ScheduledAction {
  readonly atMs: number;
  readonly run: (world: {
    readonly standIns: StandIns;
    readonly random: Random;
    /** Absent when the plain gateway is measured. */
    readonly fleet: Fleet | undefined;
  }) => Promise<void> | void;
}

/**
 * One experiment.
 *
 * @public
 */
export interface Scenario {
  readonly name: string;
  readonly durationMs: number;
  /** The share of requests that the balancer sends to the first host beyond an even part. */
  readonly skew?: number;
  /** Changes the configuration of the experiment. */
  readonly configure?: (configuration: Configuration) => void;
  readonly buildFlows: (capacity: number) => readonly Flow[];
  readonly actions?: readonly ScheduledAction[];
  readonly evaluate: (record: RunRecord) => readonly Target[];
}

/**
 * Creates a target that a figure must reach.
 *
 * @param name - what is measured
 * @param value - the figure
 * @param bound - the least that is good
 * @returns the target
 * @public
 */
export function createMinTarget(name: string, value: number, bound: number): Target {
  return { name, value, bound, direction: 'at-least', isMet: value >= bound };
}

/**
 * Creates a target that a figure must not exceed.
 *
 * @param name - what is measured
 * @param value - the figure
 * @param bound - the most that is good
 * @returns the target
 * @public
 */
export function createMaxTarget(name: string, value: number, bound: number): Target {
  return { name, value, bound, direction: 'at-most', isMet: value <= bound };
}

/** Requests sent in a span of a run. */
export function selectSpan(
  samples: readonly Sample[],
  fromMs: number,
  toMs: number,
): readonly Sample[] {
  return samples.filter(({ sentAtMs }) => sentAtMs >= fromMs && sentAtMs < toMs);
}

/** Share of requests that were attained; 1 when there is none. */
export function computeAttainment(samples: readonly Sample[]): number {
  if (samples.length === 0) return 1;
  return samples.filter(({ isAttained }) => isAttained).length / samples.length;
}

/** Attainment under load against attainment in the light phase. */
export function compareWithUnloaded(
  record: RunRecord,
  select: (sample: Sample) => boolean,
): number {
  const chosen = record.samples.filter(select);
  const before = computeAttainment(selectSpan(chosen, 0, record.unloadedMs));
  const during = computeAttainment(selectSpan(chosen, record.unloadedMs, record.durationMs));
  return before === 0 ? 0 : during / before;
}

/** Attained requests a second among those that ended in a span. */
export function computeGoodput(samples: readonly Sample[], fromMs: number, toMs: number): number {
  const ended = samples.filter(({ isAttained, sentAtMs, latencyMs }) => {
    const endedAt = sentAtMs + latencyMs;
    return isAttained && endedAt >= fromMs && endedAt < toMs;
  });
  return (ended.length / (toMs - fromMs)) * 1_000;
}
