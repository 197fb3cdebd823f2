import type { Random } from '@endiveferry/base';
import type { Configuration } from '@endiveferry/settings';

import type { Fleet } from '../createFleet.js';
import type { Flow, Sample } from '../runLoad.js';
import type { RunSummary } from '../summarize.js';
import type { StandIns } from '../standins/startStandIns.js';

/** Duration of the light load at the start of a run, which is the reference, in milliseconds. */
export const LIGHT_LOAD_MS = 6_000;
/** Settling time between a change of load and the start of measurement, in milliseconds. */
export const SETTLE_MS = 2_000;

/**
 * Samples and figures of a run, for evaluation.
 *
 * @public
 */
export interface RunRecord {
  readonly samples: readonly Sample[];
  readonly summary: RunSummary;
  readonly standIns: StandIns;
  /** Responses per second that the engines can generate, by the service time under light load. */
  readonly capacity: number;
  /** End of the light load, which is within capacity, in milliseconds from the start of the run. */
  readonly lightLoadMs: number;
  readonly durationMs: number;
  /** Ratio of retries and hedges to first attempts; undefined where they are not counted. */
  readonly retryShare: number | undefined;
}

/**
 * Measured figure and the bound that it must meet.
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

/** Action that a scenario runs at a time in the run. @public */
export interface ScheduledAction {
  /** Time of the action, in milliseconds from the start of the run. */
  readonly atMs: number;
  readonly run: (context: {
    readonly standIns: StandIns;
    readonly random: Random;
    /** Undefined when the plain gateway is measured. */
    readonly fleet: Fleet | undefined;
  }) => Promise<void> | void;
}

/**
 * Load, actions and targets of one experiment.
 *
 * @public
 */
export interface Scenario {
  readonly name: string;
  readonly durationMs: number;
  /** Share of requests that the load balancer sends to the first host beyond its even share. */
  readonly skew?: number;
  /** Changes the configuration before the run. */
  readonly configure?: (configuration: Configuration) => void;
  /** Builds the load for a capacity in responses per second. */
  readonly buildFlows: (capacity: number) => readonly Flow[];
  readonly actions?: readonly ScheduledAction[];
  /** Compares a finished run with the targets of the experiment. */
  readonly evaluate: (record: RunRecord) => readonly Target[];
}

/**
 * Creates a target with a lower bound.
 *
 * @param name - name of the figure in reports
 * @param value - measured value
 * @param bound - minimum value that meets the target
 * @returns the target
 * @public
 */
export function createMinTarget(name: string, value: number, bound: number): Target {
  return { name, value, bound, direction: 'at-least', isMet: value >= bound };
}

/**
 * Creates a target with an upper bound.
 *
 * @param name - name of the figure in reports
 * @param value - measured value
 * @param bound - maximum value that meets the target
 * @returns the target
 * @public
 */
export function createMaxTarget(name: string, value: number, bound: number): Target {
  return { name, value, bound, direction: 'at-most', isMet: value <= bound };
}

/** Selects the requests sent from `fromMs` to before `toMs`, from the start of the run. */
export function selectSentBetween(
  samples: readonly Sample[],
  fromMs: number,
  toMs: number,
): readonly Sample[] {
  return samples.filter(({ sentAtMs }) => sentAtMs >= fromMs && sentAtMs < toMs);
}

/** Computes the share of requests that were attained; 1 when there are none. */
export function computeAttainment(samples: readonly Sample[]): number {
  if (samples.length === 0) return 1;
  return samples.filter(({ isAttained }) => isAttained).length / samples.length;
}

/** Computes the ratio of attainment after the light load to attainment during it. */
export function compareWithLightLoad(
  record: RunRecord,
  select: (sample: Sample) => boolean,
): number {
  const chosen = record.samples.filter(select);
  const before = computeAttainment(selectSentBetween(chosen, 0, record.lightLoadMs));
  const during = computeAttainment(
    selectSentBetween(chosen, record.lightLoadMs, record.durationMs),
  );
  return before === 0 ? 0 : during / before;
}

/** Computes the attained requests per second among those that ended in an interval. */
export function computeGoodput(samples: readonly Sample[], fromMs: number, toMs: number): number {
  const ended = samples.filter(({ isAttained, sentAtMs, latencyMs }) => {
    const endedAt = sentAtMs + latencyMs;
    return isAttained && endedAt >= fromMs && endedAt < toMs;
  });
  return (ended.length / (toMs - fromMs)) * 1_000;
}
