import type { Clock } from '@endiveferry/base';
import { createLatencyHistogram, type LatencyHistogram } from '@endiveferry/telemetry';

/** Length of one window of samples. */
const WINDOW_MS = 15_000;
/** A window with fewer samples is ignored; without any usable one the configured time is used. */
const MIN_SAMPLES = 10;
/** Time for which a computed estimate is reused. */
const CACHE_MS = 100;
/** Quantile of the service time that is used to budget deadlines. */
const BUDGET_QUANTILE = 0.9;

/**
 * Expected service time of one call.
 *
 * @public
 */
export interface ServiceEstimate {
  /** High quantile of the service time, in milliseconds; used to budget deadlines. */
  readonly budgetMs: number;
  /** Mean service time, in milliseconds; used as the cost of a call. */
  readonly meanMs: number;
}

/**
 * Estimates service times from recent calls.
 *
 * @public
 */
export interface ServiceEstimator {
  /** Records the service time of one call of a work class, in milliseconds. */
  record(workClass: string, serviceMs: number): void;
  /** Estimates the service time of a call; returns `expectedMs` until there are enough samples. */
  estimate(workClass: string, expectedMs: number): ServiceEstimate;
}

interface ClassWindows {
  current: LatencyHistogram;
  previous: LatencyHistogram;
  startedAt: number;
  cached?: { readonly estimate: ServiceEstimate; readonly until: number };
}

/**
 * Creates an estimator over two windows, so that it follows changes within seconds and still has
 * samples just after a new window has begun.
 *
 * @param clock - measures the length of windows
 * @returns an estimator without samples
 * @public
 */
export function createServiceEstimator(clock: Clock): ServiceEstimator {
  const classes = new Map<string, ClassWindows>();

  function getOrCreateWindows(workClass: string): ClassWindows {
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
    const oldest = windows.previous;
    oldest.reset();
    windows.previous = windows.current;
    windows.current = oldest;
    if (isStale) windows.previous.reset();
    windows.startedAt = now;
  }

  function computeEstimate(windows: ClassWindows, expectedMs: number): ServiceEstimate {
    const usable = [windows.current, windows.previous].filter(
      (histogram) => histogram.count() >= MIN_SAMPLES,
    );
    if (usable.length === 0) return { budgetMs: expectedMs, meanMs: expectedMs };
    // The maximum of both windows reflects a slowdown at once and a recovery one window later.
    return {
      budgetMs: Math.max(...usable.map((histogram) => histogram.getQuantile(BUDGET_QUANTILE))),
      meanMs: usable[0]?.mean() ?? expectedMs,
    };
  }

  return {
    record(workClass, serviceMs) {
      getOrCreateWindows(workClass).current.record(serviceMs);
    },
    estimate(workClass, expectedMs) {
      const windows = getOrCreateWindows(workClass);
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
