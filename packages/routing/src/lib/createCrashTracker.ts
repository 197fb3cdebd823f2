import type { BackendServerId, Clock, SuspectReport } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';

import { isSameCrash, type Crash } from './Crash.js';
import { listTrackedParts } from './listTrackedParts.js';

/**
 * Minimum time from a request to a break without a response that may be a crash, in milliseconds.
 * A server resets at once what it receives on an idle connection that it has dropped.
 *
 * @public
 */
export const MIN_CRASH_RUN_MS = 20;
/** Number of crashes, without an answer, after which a part is blocked. */
const CRASHES_TO_BLOCK = 3;
/** Time for which a crash counts, in milliseconds. */
const CRASH_VALID_MS = 60_000;
/**
 * Crashes up to this long after an answer to a request with the part do not count, in milliseconds:
 * the part is sound, and another request crashed the server.
 */
const ANSWER_VALID_MS = 10_000;
/** Time after which a blocked part is allowed again, in milliseconds. */
const BLOCK_MS = 600_000;
/**
 * Hosts accept what is younger than this share of its lifetime, so that hosts which pass it on
 * between them don't keep it alive by the delays of the messages.
 */
const ACCEPTED_LIFETIME_SHARE = 0.9;
/** Smallest difference between two answers that counts as news, in milliseconds. */
const MIN_ANSWER_GAP_MS = 1_000;
/**
 * Time for which a host reports new evidence, or that a part reported as suspect is sound, in
 * milliseconds. Blocks are reported while they last, because hosts that start need them.
 */
const REPORT_MS = 5_000;
/** Number of parts whose last answer is remembered. */
const MAX_ANSWERS = 4_096;
/** Number of parts in one report. */
const MAX_REPORTED = 64;

/** A part, or a request, that is not sent to backend servers. @public */
export interface BlockedPart {
  readonly partId: string;
  /** Number of known crashes under it. */
  readonly crashes: number;
}

/**
 * Finds prompt parts and requests that crash every backend server that runs them, from what all
 * hosts see. A request that is repeated counts as a part of itself, with an id of its own. A crash
 * is evidence against all parts of a request; an answer proves them sound.
 *
 * @public
 */
export interface CrashTracker {
  /** Records that the answer to a request with these parts began. */
  recordAnswer(partIds: readonly string[]): void;
  /**
   * Records that a server broke the connection before its answer to such a request began, after it
   * had run the request for `ranMs` milliseconds.
   */
  recordCrash(serverId: BackendServerId, partIds: readonly string[], ranMs?: number): void;
  /** Whether any part may crash servers. Without suspects nothing needs to be looked up. */
  readonly hasSuspects: () => boolean;
  /** Finds a part of a request that must not be sent. */
  findBlockedPart(partIds: readonly string[]): BlockedPart | undefined;
  readonly countBlocked: () => number;
  /** Applies what another host reports. */
  applyReports(reports: readonly SuspectReport[], source: string): void;
  /** Returns what to report to other hosts. */
  readonly listReports: () => SuspectReport[];
}

/** Options of {@link createCrashTracker}. @public */
export interface CrashTrackerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when other hosts should hear of a change without delay. */
  readonly onChange: () => void;
}

interface Suspect {
  crashes: Crash[];
  blockedAt: number | undefined;
  /** Time at which this host learned of the latest crash. */
  changedAt: number;
}

/**
 * Creates a tracker without evidence. Meant for requests that arrive at any host, share their caller
 * and most parts with sound ones, and crash every server that runs them, repeated or not.
 *
 * @param options - see {@link CrashTrackerOptions}
 * @returns the tracker
 * @public
 */
export function createCrashTracker(options: CrashTrackerOptions): CrashTracker {
  const { clock, logger } = options;
  const suspects = new Map<string, Suspect>();
  /** Time of the last answer by part, the least recently answered first. */
  const answers = new Map<string, number>();
  /** Times until which parts that others suspect are reported as sound. */
  const replies = new Map<string, number>();
  let lastAnswerAt = -Infinity;

  const isProvenSound = (partId: string, at: number) =>
    at <= (answers.get(partId) ?? -Infinity) + ANSWER_VALID_MS;

  function setAnswer(partId: string, at: number): void {
    lastAnswerAt = Math.max(lastAnswerAt, at);
    answers.delete(partId);
    answers.set(partId, at);
    for (const oldest of answers.keys()) {
      if (answers.size <= MAX_ANSWERS) break;
      answers.delete(oldest);
    }
    clearSuspect(partId);
  }

  /** Drops the evidence against a part that an answer refutes. */
  function clearSuspect(partId: string): void {
    const suspect = suspects.get(partId);
    if (suspect === undefined) return;
    suspect.crashes = suspect.crashes.filter(({ at }) => !isProvenSound(partId, at));
    if (suspect.blockedAt !== undefined && isProvenSound(partId, suspect.blockedAt)) {
      suspect.blockedAt = undefined;
      logger.warn('request or prompt part allowed again: a request with it was answered', {
        part: partId,
      });
      options.onChange();
    }
    if (suspect.blockedAt === undefined && suspect.crashes.length === 0) suspects.delete(partId);
  }

  function removeExpired(): void {
    const now = clock.now();
    for (const [partId, suspect] of suspects) {
      const { blockedAt } = suspect;
      if (blockedAt === undefined) {
        suspect.crashes = suspect.crashes.filter(({ at }) => now - at <= CRASH_VALID_MS);
        if (suspect.crashes.length === 0) suspects.delete(partId);
      } else if (now - blockedAt > BLOCK_MS) {
        suspects.delete(partId);
        logger.info('request or prompt part allowed again: its block expired', { part: partId });
      }
    }
    for (const [partId, until] of replies) if (now > until) replies.delete(partId);
  }

  function findOrAddSuspect(partId: string): Suspect {
    const suspect = suspects.get(partId) ?? {
      crashes: [],
      blockedAt: undefined,
      changedAt: -Infinity,
    };
    suspects.set(partId, suspect);
    return suspect;
  }

  /** Returns whether the crash is new evidence against the part. */
  function addCrash(partId: string, crash: Crash): boolean {
    if (isProvenSound(partId, crash.at)) return false;
    const suspect = findOrAddSuspect(partId);
    if (suspect.crashes.some((known) => isSameCrash(known, crash))) return false;
    suspect.crashes.push(crash);
    suspect.changedAt = clock.now();
    return true;
  }

  /**
   * Blocks a part with enough evidence. Without an answer to any request since the first crash, the
   * servers may crash for a reason that all requests share.
   */
  function blockIfProven(partId: string): void {
    const suspect = suspects.get(partId);
    if (suspect === undefined || suspect.blockedAt !== undefined) return;
    if (suspect.crashes.length < CRASHES_TO_BLOCK) return;
    const firstCrashAt = Math.min(...suspect.crashes.map(({ at }) => at));
    const isPoolServing = lastAnswerAt >= Math.max(firstCrashAt, clock.now() - ANSWER_VALID_MS);
    if (!isPoolServing) return;
    block(partId, suspect, clock.now(), 'own evidence');
  }

  function block(partId: string, suspect: Suspect, at: number, source: string): void {
    suspect.blockedAt = at;
    logger.warn('request or prompt part blocked: backend servers crash under it', {
      part: partId,
      source,
      ageMs: Math.round(clock.now() - at),
      backendServers: suspect.crashes.map(({ serverId }) => serverId),
    });
    options.onChange();
  }

  function addEvidence(partId: string, crashes: readonly Crash[]): void {
    const added = crashes.filter((crash) => addCrash(partId, crash)).length;
    if (added === 0) return;
    const known = suspects.get(partId)?.crashes.length ?? 0;
    logger.info('backend server crashed under a request or prompt part', {
      part: partId,
      backendServer: crashes.at(-1)?.serverId,
      crashes: known,
    });
    // Single crashes are frequent, and mostly refuted before a second one.
    if (known > 1) options.onChange();
    blockIfProven(partId);
  }

  function applyReport({ partId, ...report }: SuspectReport, source: string): void {
    const now = clock.now();
    const answeredAt = now - (report.answeredAgeMs ?? Infinity);
    if (answeredAt > (answers.get(partId) ?? -Infinity) + MIN_ANSWER_GAP_MS) {
      setAnswer(partId, answeredAt);
    }
    const crashes = report.crashes
      .filter(([, ageMs]) => ageMs < CRASH_VALID_MS * ACCEPTED_LIFETIME_SHARE)
      .map(([serverId, ageMs, ranMs]) => ({ serverId, at: now - ageMs, ranMs }));
    const { blockedAgeMs } = report;
    const blockedAt =
      blockedAgeMs === undefined || blockedAgeMs >= BLOCK_MS * ACCEPTED_LIFETIME_SHARE
        ? undefined
        : now - blockedAgeMs;
    const claims = [
      ...crashes.map(({ at }) => at),
      ...(blockedAt === undefined ? [] : [blockedAt]),
    ];
    if (claims.some((at) => isProvenSound(partId, at))) {
      if (!replies.has(partId)) options.onChange();
      replies.set(partId, now + REPORT_MS);
    }
    if (suspects.get(partId)?.blockedAt !== undefined) return;
    addEvidence(partId, crashes);
    if (blockedAt === undefined || isProvenSound(partId, blockedAt)) return;
    const suspect = findOrAddSuspect(partId);
    if (suspect.blockedAt === undefined) block(partId, suspect, blockedAt, source);
  }

  const computeAgeMs = (at: number) => Math.round(clock.now() - at);

  function buildReport(partId: string): SuspectReport {
    const { crashes = [], blockedAt } = suspects.get(partId) ?? {};
    const answeredAt = answers.get(partId);
    return {
      partId,
      crashes: crashes.map(({ serverId, at, ranMs }) => [
        serverId,
        computeAgeMs(at),
        ...(ranMs === undefined ? [] : [Math.round(ranMs)]),
      ]),
      ...(answeredAt === undefined ? {} : { answeredAgeMs: computeAgeMs(answeredAt) }),
      ...(blockedAt === undefined ? {} : { blockedAgeMs: computeAgeMs(blockedAt) }),
    };
  }

  function findBlockedPart(partIds: readonly string[]): BlockedPart | undefined {
    if (suspects.size === 0) return undefined;
    for (const partId of partIds) {
      const { crashes = [], blockedAt } = suspects.get(partId) ?? {};
      const isBlocked = blockedAt !== undefined && clock.now() - blockedAt <= BLOCK_MS;
      if (isBlocked) return { partId, crashes: crashes.length };
    }
    return undefined;
  }

  return {
    recordAnswer(partIds) {
      lastAnswerAt = clock.now();
      for (const partId of listTrackedParts(partIds)) setAnswer(partId, lastAnswerAt);
      // The pool serves again, so the evidence gathered while it did not may suffice.
      for (const partId of suspects.keys()) blockIfProven(partId);
    },
    recordCrash(serverId, partIds, ranMs) {
      // A blocked part explains the crash.
      if (findBlockedPart(partIds) !== undefined) return;
      removeExpired();
      const crash = { serverId, at: clock.now(), ranMs };
      for (const partId of listTrackedParts(partIds)) addEvidence(partId, [crash]);
    },
    findBlockedPart,
    hasSuspects: () => suspects.size > 0,
    countBlocked: () =>
      [...suspects.values()].filter(({ blockedAt }) => blockedAt !== undefined).length,
    applyReports(reports, source) {
      for (const report of reports) applyReport(report, source);
    },
    listReports() {
      removeExpired();
      // The newest evidence comes last in the map, blocked parts go first in the report.
      const blocked = [...suspects].filter(([, { blockedAt }]) => blockedAt !== undefined);
      const isNews = ({ blockedAt, changedAt }: Suspect) =>
        blockedAt === undefined && clock.now() - changedAt <= REPORT_MS;
      const others = [...suspects].filter(([, suspect]) => isNews(suspect)).reverse();
      const partIds = [...blocked, ...others].map(([partId]) => partId);
      return [...new Set([...partIds, ...replies.keys()])].slice(0, MAX_REPORTED).map(buildReport);
    },
  };
}
