import type { Clock } from '@endiveferry/base';

/** Bounds of a reported slowdown; figures beyond them count as these. */
const MIN_SLOWDOWN = 0.4;
const MAX_SLOWDOWN = 4;
/** Bounds of the expected ratio of actual to expected duration. */
const MIN_SLOWNESS = 0.25;
const MAX_SLOWNESS = 6;
/** Bounds of the ratio of measured to expected duration of one call, which may include queueing. */
const MIN_RATIO = 0.2;
const MAX_RATIO = 8;
/** Bound of the difference that is permanent; servers of a pool differ by 0.55 to 1.3. */
const MAX_OWN_SLOWNESS = 1.5;
/** Weight of the latest report in the moving average of the figures. */
const SLOWDOWN_WEIGHT = 0.05;
/** Weight of the latest call in the moving average of the server's own slowness. */
const SLOWNESS_WEIGHT = 0.1;
/**
 * Weight of the latest call in the moving averages of the prediction errors, if its report differs
 * from the average by a factor of e or more; less with a smaller difference.
 */
const ERROR_WEIGHT = 0.1;
/**
 * Time in which half of a report's information is lost, in milliseconds. Machines are slow for
 * periods of some hundred milliseconds.
 */
const REPORT_HALF_LIFE_MS = 200;

/**
 * The speed of one backend server: how long its calls take in relation to what is expected of them,
 * and how much slower than usual it runs at present, by its own word.
 *
 * @public
 */
export interface ServerSpeed {
  /** Records the slowdown in a response, 1 being usual; undefined for a response without one. */
  recordSlowdown(slowdown: number | undefined): void;
  /**
   * Records a call that has just ended.
   *
   * @param ratio - ratio of its measured to its expected duration
   * @param startedAt - monotonic time of its start, in milliseconds
   */
  recordCall(ratio: number, startedAt: number): void;
  /** Returns the slowdown that was reported since a time, or else the server's average. */
  readonly findSlowdownSince: (startedAt: number) => number;
  /** Whether the server has reported slowdowns. */
  readonly isReporting: () => boolean;
  /** Returns the slowdown that is expected now; 1 for a server that reports none. */
  readonly slowdown: () => number;
  /** Returns the expected ratio of actual to expected duration for a call that starts now. */
  readonly slowness: () => number;
  /** Returns the same as far as the server differs from its peers at all times, within bounds. */
  readonly ownSlowness: () => number;
  /** Returns the same as an average over time. */
  readonly usualSlowness: () => number;
}

const clamp = (value: number, min: number, max: number) => Math.min(max, Math.max(min, value));

/**
 * Creates the speed of a server that has not responded yet. A report counts less with its age, and
 * not at all while it predicts durations worse than the server's average does, so that a false
 * figure does not attract work. What a figure states wrongly at all times is part of the learned
 * slowness.
 *
 * @param clock - measures the age of reports
 * @returns the speed, initially as expected
 * @public
 */
export function createServerSpeed(clock: Pick<Clock, 'now'>): ServerSpeed {
  /** Ratio of measured to expected duration, without the part that the reports explain. */
  let ownSlowness = 1;
  /** The same with that part. */
  let fullSlowness = 1;
  let averageSlowdown: number | undefined;
  let report = { slowdown: 1, at: -Infinity };
  let errorWithReport = 0;
  let errorWithoutReport = 0;

  const hasReportSince = (startedAt: number) => report.at >= startedAt;

  const findSlowdownSince = (startedAt: number) =>
    hasReportSince(startedAt) ? report.slowdown : (averageSlowdown ?? 1);

  const isTrusted = () => errorWithReport <= errorWithoutReport;

  function computeSlowdown(): number {
    if (averageSlowdown === undefined) return 1;
    if (!isTrusted()) return averageSlowdown;
    const weight = 0.5 ** ((clock.now() - report.at) / REPORT_HALF_LIFE_MS);
    return averageSlowdown + weight * (report.slowdown - averageSlowdown);
  }

  return {
    recordSlowdown(reported) {
      if (reported === undefined || !Number.isFinite(reported) || reported <= 0) return;
      const slowdown = clamp(reported, MIN_SLOWDOWN, MAX_SLOWDOWN);
      report = { slowdown, at: clock.now() };
      averageSlowdown ??= 1;
      averageSlowdown += SLOWDOWN_WEIGHT * (slowdown - averageSlowdown);
    },
    recordCall(measuredRatio, startedAt) {
      if (Number.isNaN(measuredRatio)) return;
      const ratio = clamp(measuredRatio, MIN_RATIO, MAX_RATIO);
      const own = ratio / findSlowdownSince(startedAt);
      if (hasReportSince(startedAt)) {
        // A report of the usual speed cannot be told from none.
        const distance = Math.abs(Math.log(report.slowdown / (averageSlowdown ?? 1)));
        const weight = ERROR_WEIGHT * Math.min(1, distance);
        errorWithReport += weight * (Math.abs(Math.log(own / ownSlowness)) - errorWithReport);
        errorWithoutReport +=
          weight * (Math.abs(Math.log(ratio / fullSlowness)) - errorWithoutReport);
      }
      ownSlowness += SLOWNESS_WEIGHT * (own - ownSlowness);
      fullSlowness += SLOWNESS_WEIGHT * (ratio - fullSlowness);
    },
    findSlowdownSince,
    isReporting: () => averageSlowdown !== undefined,
    slowdown: computeSlowdown,
    slowness() {
      const slowness = isTrusted() ? ownSlowness * computeSlowdown() : fullSlowness;
      return clamp(slowness, MIN_SLOWNESS, MAX_SLOWNESS);
    },
    ownSlowness: () => clamp(fullSlowness, 1 / MAX_OWN_SLOWNESS, MAX_OWN_SLOWNESS),
    usualSlowness: () => fullSlowness,
  };
}
