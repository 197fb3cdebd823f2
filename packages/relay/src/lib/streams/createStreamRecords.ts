import type { Clock, RequestId } from '@endiveferry/base';

import type { StreamOrigin, StreamRecord } from '../StreamOrigin.js';

/** Maximum number of records; the oldest are dropped first. */
const MAX_RECORDS = 10_000;

/** Where recent streams began. @internal */
export interface StreamRecords {
  /** Adds the record of a stream; `isShared` if the hosts that need it have it. */
  add(record: StreamRecord, isShared: boolean): void;
  find(requestId: RequestId): StreamOrigin | undefined;
  /** Returns the records that are not shared and meet a condition; from now on they are. */
  takeUnshared(isNeeded: (record: StreamRecord) => boolean): readonly StreamRecord[];
  readonly count: () => number;
}

/**
 * Creates an empty, bounded set of records.
 *
 * @param clock - clock that ages the records
 * @param lifetimeMs - returns the time for which a record is kept, in milliseconds
 * @returns the records
 * @internal
 */
export function createStreamRecords(clock: Clock, lifetimeMs: () => number): StreamRecords {
  const records = new Map<RequestId, { readonly record: StreamRecord; readonly at: number }>();
  const unshared = new Set<RequestId>();

  function removeFirst(requestId: RequestId): void {
    records.delete(requestId);
    unshared.delete(requestId);
  }

  function removeExpired(): void {
    for (const [requestId, { at }] of records) {
      if (records.size <= MAX_RECORDS && clock.now() - at <= lifetimeMs()) return;
      removeFirst(requestId);
    }
  }

  return {
    add(record, isShared) {
      const { requestId } = record;
      records.delete(requestId);
      records.set(requestId, { record, at: clock.now() });
      if (isShared) unshared.delete(requestId);
      else unshared.add(requestId);
      removeExpired();
    },
    find: (requestId) => records.get(requestId)?.record,
    takeUnshared(isNeeded) {
      const taken = [...unshared].flatMap((requestId) => {
        const record = records.get(requestId)?.record;
        return record !== undefined && isNeeded(record) ? [record] : [];
      });
      for (const { requestId } of taken) unshared.delete(requestId);
      return taken;
    },
    count: () => records.size,
  };
}
