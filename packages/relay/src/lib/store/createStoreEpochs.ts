import type { Clock } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';

import type { DualTimestamp } from '../createDualClock.js';
import type { StorePosition } from '../StorePosition.js';

/** Time within which what the store lost is written again after its return, in milliseconds. */
const REWRITE_MS = 2_000;
/** The epoch of a store that has never returned from a copy. */
const FIRST_EPOCH = 1;

/** A version of the configuration as the store showed it. @public */
export interface ConfigurationEntry {
  readonly version: number;
  /** Where the entry was written. */
  readonly position: StorePosition;
  /** Time just before the entry was requested. */
  readonly requestedAt: DualTimestamp;
}

/**
 * Tracks the epochs of the store and decides whether it can confirm a configuration. After a return
 * from a copy the store may lack a version that it has acknowledged, such as one that revokes a key,
 * until its writer writes it again.
 *
 * @public
 */
export interface StoreEpochs {
  /** Records the epoch of a response, and the store's revision if the response has it. */
  recordResponse(epoch: number, revision: number | undefined): void;
  /** Returns the latest epoch of which this host knows; 0 before the first response. */
  readonly current: () => number;
  /** Records a version that the store shows and returns whether no newer one can have been lost. */
  confirm(entry: ConfigurationEntry): boolean;
}

/**
 * Creates a tracker that has seen no response.
 *
 * @param clock - monotonic clock of the process, the same as that of the entries
 * @param logger - logger of new epochs
 * @returns the tracker
 * @public
 */
export function createStoreEpochs(clock: Clock, logger: Logger): StoreEpochs {
  let epoch = 0;
  let beganAt = -Infinity;
  let firstRevision: number | undefined;
  /** The newest version that the store has shown, with the revisions of earlier epochs. */
  let newestVersion = 0;
  let earlierRevisions = new Set<number>();
  let latestRevision: number | undefined;

  function startEpoch(next: number): void {
    if (epoch > 0) logger.warn('the epoch of the store changed', { epoch: next, previous: epoch });
    // A host that starts cannot tell for how long the store has been in an epoch.
    if (epoch > 0 || next > FIRST_EPOCH) beganAt = clock.now();
    epoch = next;
    firstRevision = undefined;
    if (latestRevision !== undefined) earlierRevisions.add(latestRevision);
    latestRevision = undefined;
  }

  function recordVersion({ version, position }: ConfigurationEntry): void {
    if (version > newestVersion) {
      newestVersion = version;
      earlierRevisions = new Set();
    }
    if (version === newestVersion) latestRevision = position.revision;
  }

  /** Returns whether the entry was written since the store's last return. */
  function isWrittenSinceReturn({ version, position }: ConfigurationEntry): boolean {
    if (firstRevision !== undefined && position.revision > firstRevision) return true;
    // A copy keeps the revisions of its entries.
    const isKnown = version === newestVersion && earlierRevisions.size > 0;
    return isKnown && !earlierRevisions.has(position.revision);
  }

  return {
    recordResponse(nextEpoch, revision) {
      if (nextEpoch < epoch) return;
      if (nextEpoch > epoch) startEpoch(nextEpoch);
      firstRevision ??= revision;
    },
    current: () => epoch,
    confirm(entry) {
      if (entry.position.epoch !== epoch) return false;
      recordVersion(entry);
      const hasSettled = entry.requestedAt.monotonicMs >= beganAt + REWRITE_MS;
      return hasSettled || isWrittenSinceReturn(entry);
    },
  };
}
