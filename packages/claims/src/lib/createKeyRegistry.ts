import type { Clock } from '@endiveferry/base';

import type { KeyedOutcome } from './KeyedOutcome.js';

/** Maximum number of records; above it, new keys are rejected and no record is removed early. */
const MAX_RECORDS = 200_000;
/** Longest answer that is stored for a replay, in characters of JSON. */
const MAX_STORED_ANSWER_LENGTH = 32_768;

/**
 * Record of a used key, as a stopping host hands it over.
 *
 * @public
 */
export interface KeyRecord {
  readonly key: string;
  readonly bodyHash: string;
  /** Undefined while the request runs. */
  readonly outcome: KeyedOutcome | undefined;
}

/**
 * Records of the keys that one process has run.
 *
 * @public
 */
export interface KeyRegistry {
  /**
   * Runs a request unless its key was used before; a repeated request gets the outcome of the first
   * one. A key stays unused when its request provably did not run.
   */
  runOnce(key: string, bodyHash: string, run: () => Promise<KeyedOutcome>): Promise<KeyedOutcome>;
  /** Adds a record from a stopping host, unless the key has one. */
  addRecord(record: KeyRecord): void;
  hasRecord(key: string): boolean;
  listRecords(): readonly KeyRecord[];
  readonly size: () => number;
}

interface Entry {
  readonly bodyHash: string;
  readonly done: Promise<KeyedOutcome>;
  outcome: KeyedOutcome | undefined;
  readonly expiresAt: number;
}

/** Returns the outcome to repeat for later requests with the same key. */
function buildReplay(outcome: KeyedOutcome): KeyedOutcome {
  if (outcome.kind !== 'answer') return outcome;
  const length = (JSON.stringify(outcome.output) as string | undefined)?.length ?? 0;
  if (length <= MAX_STORED_ANSWER_LENGTH) return { ...outcome, isReplay: true };
  return {
    kind: 'failure',
    reason: 'key-conflict',
    detail: 'the key was used before: its request ran, and its answer was too long to be stored',
    execution: 'ran',
  };
}

/**
 * Creates an empty registry.
 *
 * @param clock - clock that times the expiry of records
 * @param getRetentionMs - returns how long a record is retained, in milliseconds
 * @returns the registry
 * @public
 */
export function createKeyRegistry(clock: Clock, getRetentionMs: () => number): KeyRegistry {
  const entries = new Map<string, Entry>();

  /** Removes expired entries; all are retained equally long, so the map is in order of expiry. */
  function removeExpired(): void {
    for (const [key, entry] of entries) {
      if (entry.expiresAt > clock.now()) return;
      if (entry.outcome !== undefined) entries.delete(key);
    }
  }

  async function runFirst(
    key: string,
    bodyHash: string,
    run: () => Promise<KeyedOutcome>,
  ): Promise<KeyedOutcome> {
    const done = run();
    const expiresAt = clock.now() + getRetentionMs();
    const entry: Entry = { bodyHash, done, outcome: undefined, expiresAt };
    entries.set(key, entry);
    const outcome = await done;
    const didNotRun = outcome.kind === 'failure' && outcome.execution === 'not-run';
    if (didNotRun) entries.delete(key);
    else entry.outcome = buildReplay(outcome);
    return outcome;
  }

  return {
    async runOnce(key, bodyHash, run) {
      removeExpired();
      const entry = entries.get(key);
      if (entry === undefined) {
        if (entries.size < MAX_RECORDS) return runFirst(key, bodyHash, run);
        const detail = 'too many keys were used recently';
        return { kind: 'failure', reason: 'overloaded', detail, execution: 'not-run' };
      }
      if (entry.bodyHash !== bodyHash) {
        // The first request with this key may have run, but this one has not and will not.
        const detail = 'the key was used for a request with a different body';
        return { kind: 'failure', reason: 'key-conflict', detail, execution: 'not-run' };
      }
      return entry.outcome ?? buildReplay(await entry.done);
    },
    addRecord({ key, bodyHash, outcome }) {
      if (entries.has(key)) return;
      const recorded: KeyedOutcome = outcome ?? {
        kind: 'failure',
        reason: 'key-unproven',
        detail: 'the host that ran the request stopped before it ended',
        execution: 'may-have-run',
      };
      const expiresAt = clock.now() + getRetentionMs();
      entries.set(key, { bodyHash, done: Promise.resolve(recorded), outcome: recorded, expiresAt });
    },
    hasRecord: (key) => entries.has(key),
    listRecords: () =>
      [...entries].map(([key, { bodyHash, outcome }]) => ({ key, bodyHash, outcome })),
    size: () => entries.size,
  };
}
