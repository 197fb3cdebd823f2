import type { Clock, Random } from '@endiveferry/base';

import { createTestDocument } from './createTestDocument.js';
import type { PublishedDocument } from '../RelayConfiguration.js';
import type { StorePosition } from '../StorePosition.js';

/** What the store shows of the configuration. @internal */
export interface ShownEntry {
  readonly document: PublishedDocument;
  readonly position: StorePosition;
}

/** A version that the store has acknowledged. @internal */
export interface AcknowledgedVersion {
  readonly version: number;
  readonly key: string;
  readonly at: number;
}

/** A model of a store that may return from an older copy of its contents. @internal */
export interface RestoredStore {
  /** Publishes a version; `hasNewKey` replaces the only valid key. */
  publish(hasNewKey: boolean): void;
  /**
   * Makes the store unavailable and lets it return from a copy. Its newest acknowledged version is
   * written again some time later.
   */
  restore(times: { copyAgeMs: number; downMs: number; rewriteMs: number }): void;
  readonly isUp: () => boolean;
  /** Time since which the store has been available and complete; Infinity while it is not. */
  readonly stableSince: () => number;
  readonly read: () => { readonly epoch: number; readonly at: number; entry: ShownEntry };
  readonly acknowledged: readonly AcknowledgedVersion[];
}

interface Contents {
  readonly revision: number;
  readonly document: PublishedDocument;
  readonly writtenAs: number;
}

/**
 * Creates a store with one version.
 *
 * @param clock - clock of the simulation
 * @param random - source of the steps between versions
 * @returns the model
 * @internal
 */
export function createRestoredStore(clock: Clock, random: Random): RestoredStore {
  const acknowledged: AcknowledgedVersion[] = [];
  const history: { readonly at: number; readonly contents: Contents }[] = [];
  let epoch = 1;
  let version = 1;
  let keys = 1;
  let newest = createTestDocument(version, ['key-1']);
  let contents: Contents = { revision: 5, document: newest, writtenAs: 5 };
  let isUp = true;
  let isComplete = true;
  let stableSince = 0;

  function write(document: PublishedDocument): void {
    const revision = contents.revision + 1;
    contents = { revision, document, writtenAs: revision };
    history.push({ at: clock.now(), contents });
  }

  function recordAcknowledged(): void {
    acknowledged.push({ version, key: `key-${keys}`, at: clock.now() });
  }

  history.push({ at: clock.now(), contents });
  recordAcknowledged();
  return {
    publish(hasNewKey) {
      if (!isUp || !isComplete) return;
      version += 1 + random.nextInteger(3);
      if (hasNewKey) keys += 1;
      newest = createTestDocument(version, [`key-${keys}`]);
      write(newest);
      recordAcknowledged();
    },
    restore({ copyAgeMs, downMs, rewriteMs }) {
      if (!isUp) return;
      isUp = false;
      isComplete = false;
      stableSince = Infinity;
      const copy = history.findLast(({ at }) => at <= clock.now() - copyAgeMs) ?? history[0];
      clock.schedule(downMs, () => {
        if (copy !== undefined) contents = copy.contents;
        epoch += 1;
        isUp = true;
        history.push({ at: clock.now(), contents });
        clock.schedule(rewriteMs, () => {
          if (!isUp) return;
          if (contents.document !== newest) write(newest);
          isComplete = true;
          stableSince = clock.now();
        });
      });
    },
    isUp: () => isUp,
    stableSince: () => stableSince,
    read: () => ({
      epoch,
      at: contents.revision,
      entry: {
        document: contents.document,
        position: { epoch, revision: contents.writtenAs },
      },
    }),
    acknowledged,
  };
}
