import type { Clock } from '@endiveferry/base';

import type { KeyedOutcome } from './KeyedOutcome.js';

/** Records kept at once; when full, new keys are refused and no record is dropped early. */
const MAX_RECORDS = 200_000;
/** Longest answer that is kept for a replay, in characters of JSON. */
const MAX_KEPT_ANSWER_LENGTH = 32_768;

/**
 * One use of a key, as it is handed on when its host stops.
 *
 * @public
 */
export interface KeyRecord {
  readonly key: string;
  readonly bodyHash: string;
  /** Absent while the request runs. */
  readonly outcome: KeyedOutcome | undefined;
}

/**
 * The keys that one process has run.
 *
 * @public
 */
export interface KeyRegistry {
  /**
   * Runs a key's request unless the key was used; a second use gets the first one's outcome. A
   * request that provably did not run leaves its key unused.
   */
  runOnce(key: string, bodyHash: string, run: () => Promise<KeyedOutcome>): Promise<KeyedOutcome>;
  /** Takes over a record from a host that stops. */
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

function shorten(outcome: KeyedOutcome): KeyedOutcome {
  if (outcome.kind !== 'answer') return outcome;
  const length = (JSON.stringify(outcome.output) as string | undefined)?.length ?? 0;
  if (length <= MAX_KEPT_ANSWER_LENGTH) return { ...outcome, isReplay: true };
  return {
    kind: 'failure',
    reason: 'key-conflict',
    detail: 'the key was used; its request ran, and its answer was too long to be kept',
    execution: 'ran',
  };
}

/**
 * Creates a registry without records.
 *
 * @param clock - tells when records expire
 * @param findRetentionMs - how long a record is kept, in milliseconds
 * @returns the registry
 * @public
 */
export function createKeyRegistry(clock: Clock, findRetentionMs: () => number): KeyRegistry {
  const entries = new Map<string, Entry>();

  /** Entries are in order of their expiry, since all are kept equally long. */
  function dropExpired(): void {
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
    const expiresAt = clock.now() + findRetentionMs();
    const entry: Entry = { bodyHash, done, outcome: undefined, expiresAt };
    entries.set(key, entry);
    const outcome = await done;
    const didNotRun = outcome.kind === 'failure' && outcome.execution === 'not-run';
    if (didNotRun) entries.delete(key);
    else entry.outcome = shorten(outcome);
    return outcome;
  }

  return {
    async runOnce(key, bodyHash, run) {
      dropExpired();
      const entry = entries.get(key);
      if (entry === undefined) {
        if (entries.size < MAX_RECORDS) return runFirst(key, bodyHash, run);
        const detail = 'too many keys were used lately';
        return { kind: 'failure', reason: 'overloaded', detail, execution: 'not-run' };
      }
      if (entry.bodyHash !== bodyHash) {
        // The other request under this key may have run, but this one did not and will not.
        const detail = 'the key was used for a request with another body';
        return { kind: 'failure', reason: 'key-conflict', detail, execution: 'not-run' };
      }
      return entry.outcome ?? shorten(await entry.done);
    },
    addRecord({ key, bodyHash, outcome }) {
      if (entries.has(key)) return;
      const known: KeyedOutcome = outcome ?? {
        kind: 'failure',
        reason: 'key-unproven',
        detail: 'the host that ran the request stopped before it ended',
        execution: 'may-have-run',
      };
      const expiresAt = clock.now() + findRetentionMs();
      entries.set(key, { bodyHash, done: Promise.resolve(known), outcome: known, expiresAt });
    },
    hasRecord: (key) => entries.has(key),
    listRecords: () =>
      [...entries].map(([key, { bodyHash, outcome }]) => ({ key, bodyHash, outcome })),
    size: () => entries.size,
  };
}
