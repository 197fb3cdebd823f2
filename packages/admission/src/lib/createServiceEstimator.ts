import type { Clock } from '@endiveferry/base';
import { createLatencyHistogram, type LatencyHistogram } from '@endiveferry/telemetry';

/** How long one window of samples is filled before the next begins. */
const WINDOW_MS = 15_000;
/** Below this many samples the configured expectation is used. */
const MIN_SAMPLES = 10;
/** How long a computed estimate is reused. */
const CACHE_MS = 100;
/** The quantile that deadlines are budgeted by. */
const BUDGET_QUANTILE = 0.9;

/**
 * What one call is expected to take.
 *
 * @public
 */
export interface ServiceEstimate {
  /** A high quantile of the service time, in milliseconds; deadlines are budgeted by it. */
  readonly budgetMs: number;
  /** The mean service time, in milliseconds; cost is accounted by it. */
  readonly meanMs: number;
}

/**
 * Estimates service times from what calls took lately.
 *
 * @public
 */
export interface ServiceEstimator {
  /** Records one call of a class of work that took `serviceMs` milliseconds. */
  record(workClass: string, serviceMs: number): void;
  /** Estimates a call; `expectedMs` is used until enough calls were measured. */
  estimate(workClass: string, expectedMs: number): ServiceEstimate;
}

interface ClassWindows {
  current: LatencyHistogram;
  previous: LatencyHistogram;
  startedAt: number;
  cached?: { readonly estimate: ServiceEstimate; readonly until: number };
}

/**
 * Creates an estimator over two sliding windows, so that it follows a change within seconds and
 * still has samples just after a window began.
 *
 * @param clock - tells when windows end
 * @returns an estimator without samples
 * @public
 */
export function createServiceEstimator(clock: Clock): ServiceEstimator {
  const classes = new Map<string, ClassWindows>();

  function findWindows(workClass: string): ClassWindows {
    const now = clock.now();
    let windows = classes.get(workClass);
    if (windows === undefined) {
      windows = {
        current: createLatencyHistogram(),
        previous: createLatencyHistogram(),
        startedAt: now,
      };
      classes.set(workClass, windows);
    }
    const ageMs = now - windows.startedAt;
    if (ageMs >= WINDOW_MS) rotateWindows(windows, now, ageMs >= 2 * WINDOW_MS);
    return windows;
  }

  function rotateWindows(windows: ClassWindows, now: number, isStale: boolean): void {
    const emptied = windows.previous;
    emptied.reset();
    windows.previous = windows.current;
    windows.current = emptied;
    if (isStale) windows.previous.reset();
    windows.startedAt = now;
  }

  function computeEstimate(windows: ClassWindows, expectedMs: number): ServiceEstimate {
    const filled = [windows.current, windows.previous].filter(
      (histogram) => histogram.count() >= MIN_SAMPLES,
    );
    if (filled.length === 0) return { budgetMs: expectedMs, meanMs: expectedMs };
    // The slower window counts, so that a slowdown shows at once and a recovery after a window.
    return {
      budgetMs: Math.max(...filled.map((histogram) => histogram.findQuantile(BUDGET_QUANTILE))),
      meanMs: filled[0]?.mean() ?? expectedMs,
    };
  }

  return {
    record(workClass, serviceMs) {
      findWindows(workClass).current.record(serviceMs);
    },
    estimate(workClass, expectedMs) {
      const windows = findWindows(workClass);
      const now = clock.now();
      if (windows.cached !== undefined && windows.cached.until > now) {
        return windows.cached.estimate;
      }
      const estimate = computeEstimate(windows, expectedMs);
      windows.cached = { estimate, until: now + CACHE_MS };
      return estimate;
    },
  };
}
