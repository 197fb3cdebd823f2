import type { BackendServerId } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';

/** The limits that backend servers in need have named. @public */
export interface ServerLimits {
  /**
   * Records what an answer of a server says of its limit.
   *
   * @param serverId - the server
   * @param perSecond - the requests a second that it takes from all hosts together; undefined when
   *   the answer names no limit
   */
  recordAnswer(serverId: BackendServerId, perSecond: number | undefined): void;
  readonly countLimited: () => number;
}

/** Options of {@link createServerLimits}. @public */
export interface ServerLimitsOptions {
  readonly logger: Logger;
}

/**
 * Creates the limits, none of them named.
 *
 * @param options - see {@link ServerLimitsOptions}
 * @returns the limits
 * @public
 */
export function createServerLimits({ logger }: ServerLimitsOptions): ServerLimits {
  const limits = new Map<BackendServerId, number>();
  return {
    recordAnswer(serverId, perSecond) {
      const known = limits.get(serverId);
      if (known === perSecond) return;
      if (perSecond === undefined) limits.delete(serverId);
      else limits.set(serverId, perSecond);
      logger.info('limit of a backend server changed', {
        backendServer: serverId,
        perSecond,
        previousPerSecond: known,
      });
    },
    countLimited: () => limits.size,
  };
}
