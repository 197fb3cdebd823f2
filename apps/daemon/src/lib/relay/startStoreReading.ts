import type { Clock, Random, Supervisor } from '@endiveferry/base';
import {
  createStoreReading,
  type Fleet,
  type HostEnvironment,
  type StoreReaderOptions,
} from '@endiveferry/relay';

import { createStoreListener, type StoreListenerOptions } from './createStoreListener.js';

/** Options of {@link startStoreReading}. @internal */
export interface StoreReadingStart extends StoreListenerOptions {
  readonly environment: Pick<HostEnvironment, 'configurationApplyMs' | 'drainMs' | 'evacuateMs'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly supervisor: Supervisor;
  /** Starts reading the configuration and the list of backend servers. */
  readonly startStoreReader: (options: StoreReaderOptions) => void;
  /** Whether this host reads the configuration for all others. */
  readonly isReader: Fleet['isStoreReader'];
}

/**
 * Starts reading the store.
 *
 * @param options - see {@link StoreReadingStart}
 * @internal
 */
export function startStoreReading(options: StoreReadingStart): void {
  const { environment, configurationTracker } = options;
  const { confirmedAgeMs } = configurationTracker;
  options.startStoreReader({
    clock: options.clock,
    dualClock: options.dualClock,
    random: options.random,
    logger: options.logger,
    supervisor: options.supervisor,
    listener: createStoreListener(options),
    confirmedAgeMs,
    reading: createStoreReading({
      isReader: options.isReader,
      confirmedAgeMs,
      findApplyMs: () => environment.configurationApplyMs,
      findDrainMs: () => environment.drainMs,
      findEvacuateMs: () => environment.evacuateMs,
    }),
  });
}
