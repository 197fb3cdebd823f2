import { describeError, type HostId } from '@endiveferry/base';
import type { PeerNetwork } from '@endiveferry/peers';
import type { Logger } from '@endiveferry/telemetry';

import type { DualClock, DualTimestamp } from '../createDualClock.js';
import type { RelayHeartbeat } from './messages.js';

/** Timeout for reading the configuration or the server list from a host, in milliseconds. */
const READ_TIMEOUT_MS = 2_000;

/** Options of {@link createPeerReader}. @internal */
export interface PeerReaderOptions {
  readonly dualClock: DualClock;
  readonly logger: Logger;
  readonly request: PeerNetwork<RelayHeartbeat>['request'];
}

/** Reads a newer document from another host, one read at a time. @internal */
export type ReadFromHost = (from: HostId) => Promise<void>;

/**
 * Creates the factory of functions that read documents from other hosts. A failed read is logged.
 *
 * @param options - see {@link PeerReaderOptions}
 * @returns the factory, which takes the kind of the request, what it reads, and what applies it
 * @internal
 */
export function createPeerReader({ dualClock, logger, request }: PeerReaderOptions) {
  return (
    kind: 'read-configuration' | 'read-servers',
    what: string,
    apply: (body: unknown, from: HostId, requestedAt: DualTimestamp) => void,
  ): ReadFromHost => {
    let isReading = false;
    return async (from) => {
      if (isReading) return;
      isReading = true;
      const requestedAt = dualClock.now();
      try {
        const reply = await request(from, kind, {}, READ_TIMEOUT_MS);
        if (reply.isErr()) throw new Error(reply.error.detail);
        apply(reply.value, from, requestedAt);
      } catch (error) {
        logger.warn(`failed to read ${what} from a host`, {
          peer: from,
          error: describeError(error),
        });
      } finally {
        isReading = false;
      }
    };
  };
}
