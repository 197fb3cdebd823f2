import type { Clock } from '@endiveferry/base';

import type { RampReport } from './RampReport.js';

/** Level after a start or a failure. */
const FIRST_LEVEL = 1;
/** Time in which a level doubles with good answers, in milliseconds; heartbeats take 0.4 to 1 s. */
const ROUND_MS = 300;
/** Time in which a level doubles without any, in milliseconds. */
const IDLE_DOUBLING_MS = 1_500;
/** First time without growth after a failure, in milliseconds; each further failure doubles it. */
const FIRST_HOLD_MS = 400;
const MAX_HOLD_MS = 5_000;
/** Weight of the latest answer in the moving average of the slowness, in a ramp. */
const SLOWNESS_WEIGHT = 0.3;
/** The same without a ramp; less, so that a few long requests in a row begin none. */
const STEADY_SLOWNESS_WEIGHT = 0.15;
/** Slowness above which good answers do not raise a level. */
const GROWTH_SLOWNESS = 1.8;
/** Slowness above which a level is reduced. Machines are 2.5 times slower for short periods. */
const REDUCTION_SLOWNESS = 3;
/** Upper bound of the slowness of one answer: one long request is no sign of a slow server. */
const MAX_SLOWNESS = 6;

/** Why a level was reduced. @internal */
export type RampReason = 'start' | 'failure' | 'rejection' | 'slow' | 'backoff';

/** Result of a call, with the time at which it was sent, in milliseconds. @public */
export type RampResult =
  | {
      readonly kind: 'answer';
      readonly sentAt: number;
      /** Ratio of measured to expected duration; undefined when none is expected. */
      readonly slowness: number | undefined;
      /** Whether other requests wait at the server. */
      readonly hasQueue: boolean;
    }
  | { readonly kind: 'rejection'; readonly sentAt: number }
  | { readonly kind: 'failure'; readonly sentAt: number };

/** A change of a level, for the log. @internal */
export interface RampChange {
  readonly change: RampReason | 'end' | 'report';
  readonly level: number | undefined;
  readonly reductions: number;
  readonly source?: string;
}

/** Derives the level after each kind of reduction, and the time without growth. @internal */
export const reductions = {
  start: () => FIRST_LEVEL,
  failure: () => FIRST_LEVEL,
  rejection: (level: number) => level / 2,
  slow: (level: number) => level / 2,
  backoff: (level: number) => level / 2,
  /** Computes the time without growth after a number of failures in a row. */
  computeHoldMs: (failures: number) =>
    Math.min(MAX_HOLD_MS, FIRST_HOLD_MS * 2 ** Math.max(0, failures - 2)),
} as const satisfies Record<RampReason, (level: number) => number> & {
  computeHoldMs: (failures: number) => number;
};

/**
 * Number of calls that all hosts together may run at one server at the same time.
 *
 * @internal
 */
export interface RampLevel {
  /** Whether the server gets only a share of its normal work. */
  readonly isRamping: () => boolean;
  readonly value: () => number;
  /** Whether nothing is to be sent to the server yet. */
  readonly isHeld: () => boolean;
  /** Whether the level has doubled at least once since a start or a failure. */
  readonly hasGrown: () => boolean;
  /** Returns the time of the last reduction, in milliseconds. */
  readonly reducedAt: () => number;
  /** Returns the time since the ramp ended, in milliseconds; Infinity without one. */
  readonly endAgeMs: () => number;
  /** Whether only this host was told to reduce the level, by a backoff. */
  readonly isLocal: () => boolean;
  /** Whether the latest answers were much slower than expected. */
  readonly isSlow: () => boolean;
  recordAnswer(answer: Extract<RampResult, { kind: 'answer' }>): void;
  /** Counts a failure, and returns the number of failures in a row. */
  countFailure(): number;
  /** Reduces the level, which does not grow for `holdMs`. */
  reduce(reason: RampReason, holdMs?: number): void;
  applyReport(report: RampReport, source: string): void;
  readonly buildReport: () => Pick<RampReport, 'reductions' | 'level' | 'ageMs' | 'holdMs'>;
}

/**
 * Creates the level of a server that gets its normal work.
 *
 * @param clock - measures growth
 * @param findFullLevel - returns the level at which a ramp ends
 * @param onChange - called after each reduction and at the end of a ramp
 * @returns the level
 * @internal
 */
export function createRampLevel(
  clock: Pick<Clock, 'now'>,
  findFullLevel: () => number,
  onChange: (change: RampChange) => void,
): RampLevel {
  /** Undefined while the server is not ramping. */
  let level: number | undefined;
  let count = 0;
  let grownAt = 0;
  let heldUntil = 0;
  /** Until when growth by answers has been granted. */
  let roundAt = 0;
  let reducedAt = -Infinity;
  let endedAt = -Infinity;
  let answeredAt = -Infinity;
  let slowness = 1;
  let failures = 0;
  let isLocal = false;

  function setLevel(next: number, change: RampChange['change'], source?: string): void {
    const hasEnded = next >= findFullLevel();
    level = hasEnded ? undefined : Math.max(FIRST_LEVEL, next);
    if (hasEnded && !isLocal) endedAt = clock.now();
    onChange({
      change: hasEnded ? 'end' : change,
      level: level === undefined ? undefined : Number(level.toFixed(1)),
      reductions: count,
      ...(source === undefined ? {} : { source }),
    });
  }

  function raise(next: number): void {
    if (next >= findFullLevel()) setLevel(next, 'end');
    else level = next;
  }

  /** Adds the growth by time. */
  function grow(): void {
    const now = clock.now();
    const from = Math.max(grownAt, heldUntil);
    grownAt = now;
    if (level !== undefined && now > from) raise(level * 2 ** ((now - from) / IDLE_DOUBLING_MS));
  }

  function isRamping(): boolean {
    grow();
    return level !== undefined;
  }

  function reduce(reason: RampReason, holdMs = 0): void {
    grow();
    const now = clock.now();
    const next = reductions[reason](level ?? findFullLevel());
    // A server may request a backoff from some hosts, and have room for others.
    isLocal = reason === 'backoff' && (level === undefined || isLocal);
    if (!isLocal) count += 1;
    reducedAt = now;
    heldUntil = Math.max(heldUntil, now + holdMs);
    roundAt = now;
    slowness = 1;
    setLevel(next, reason);
  }

  return {
    isRamping,
    value() {
      grow();
      return level ?? findFullLevel();
    },
    isHeld: () => level !== undefined && clock.now() < heldUntil,
    hasGrown: () => isRamping() && level !== undefined && level >= 2 * FIRST_LEVEL,
    reducedAt: () => reducedAt,
    endAgeMs: () => clock.now() - endedAt,
    isLocal: () => isLocal,
    isSlow: () => slowness > REDUCTION_SLOWNESS,
    recordAnswer(answer) {
      const now = clock.now();
      failures = 0;
      heldUntil = Math.min(heldUntil, now);
      grow();
      const weight = level === undefined ? STEADY_SLOWNESS_WEIGHT : SLOWNESS_WEIGHT;
      slowness += weight * (Math.min(MAX_SLOWNESS, answer.slowness ?? 1) - slowness);
      answeredAt = now;
      const roundMs = Math.min(ROUND_MS, now - roundAt);
      roundAt = now;
      if (answer.hasQueue || slowness > GROWTH_SLOWNESS) return;
      if (level !== undefined) raise(level * 2 ** (roundMs / ROUND_MS));
    },
    countFailure() {
      failures += 1;
      return failures;
    },
    reduce,
    applyReport(report, source) {
      grow();
      const now = clock.now();
      const known = level ?? findFullLevel();
      const reported = report.level ?? findFullLevel();
      const isNews = report.reductions > count;
      // An answer after the reduction refutes it, unless this host has reduced the level too.
      if (isNews && level === undefined && answeredAt > now - report.ageMs) return;
      if (!isNews && (report.reductions < count || reported <= known)) return;
      if (isNews) {
        reducedAt = Math.max(reducedAt, now - report.ageMs);
        heldUntil = Math.max(heldUntil, now + Math.min(MAX_HOLD_MS, report.holdMs));
        roundAt = now;
      }
      count = report.reductions;
      isLocal = false;
      if (isNews && reported < known) setLevel(reported, 'report', source);
      else if (level !== undefined) raise(reported);
    },
    buildReport() {
      grow();
      const now = clock.now();
      return {
        reductions: count,
        ...(level === undefined ? {} : { level }),
        ageMs: Math.max(0, Math.min(now - reducedAt, Number.MAX_SAFE_INTEGER)),
        holdMs: Math.max(0, heldUntil - now),
      };
    },
  };
}
