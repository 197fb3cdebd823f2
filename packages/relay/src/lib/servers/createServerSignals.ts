import type { ServerLimits } from '@endiveferry/admission';
import type { BackendServerId, RequestId } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';

import type { WarmUps } from './createWarmUps.js';
import type { LeavingServers } from './createLeavingServers.js';
import type { ServerRamps } from './createServerRamps.js';
import type { ResponseMetadata } from '../ports.js';
import type { ListedServer } from '../RelayConfiguration.js';

/** Number of servers whose malformed headers are remembered, to log each of them once. */
const MAX_REMEMBERED = 256;

/**
 * Applies what backend servers say of themselves in the headers of their responses.
 *
 * @public
 */
export interface ServerSignals {
  /**
   * Applies the headers of a response, which has to be of the request that was sent.
   *
   * @param server - the server that it was sent to, as it was listed then
   * @param metadata - the parsed response
   * @param requestId - the request, or one of several in one call
   */
  record(server: ListedServer, metadata: ResponseMetadata, requestId: RequestId | undefined): void;
  /** Records the result of a call that may show that a server is unreachable. */
  recordResult(server: ListedServer, result: { readonly kind: string; reason?: string }): void;
}

/** Options of {@link createServerSignals}. @public */
export interface ServerSignalsOptions {
  readonly logger: Logger;
  readonly limits: Pick<ServerLimits, 'recordAnswer' | 'backoffs'>;
  readonly leaving: Pick<LeavingServers, 'record'>;
  readonly ramps: Pick<ServerRamps, 'recordBackoff'>;
  readonly warmUps?: Pick<WarmUps, 'recordAnswer' | 'recordUnreachable'>;
}

/**
 * Creates what applies the headers.
 *
 * @param options - see {@link ServerSignalsOptions}
 * @returns what applies them
 * @public
 */
export function createServerSignals(options: ServerSignalsOptions): ServerSignals {
  const { logger, limits, leaving, ramps } = options;
  const lastMalformed = new Map<BackendServerId, string>();

  function logMalformed(
    serverId: BackendServerId,
    headers: readonly string[],
    requestId?: RequestId,
  ) {
    const text = headers.join(', ');
    if (lastMalformed.get(serverId) === text) return;
    if (lastMalformed.size >= MAX_REMEMBERED) lastMalformed.clear();
    lastMalformed.set(serverId, text);
    logger.warn('headers of a backend server cannot be read', {
      requestId,
      backendServer: serverId,
      headers,
    });
  }

  return {
    recordResult(server, { kind, reason }) {
      if (kind === 'not-sent' && reason === 'connect-failed')
        options.warmUps?.recordUnreachable(server);
    },
    record(server, metadata, requestId) {
      // Another server may have responded at the address.
      if (metadata.isMisdirected) return;
      const { serverId } = server;
      const { malformedHeaders } = metadata;
      if (malformedHeaders.length > 0) logMalformed(serverId, malformedHeaders, requestId);
      const source = `response to ${requestId ?? 'a request'}`;
      if (metadata.isLeaving) leaving.record(server, source);
      options.warmUps?.recordAnswer(server, metadata.warmUpLeftMs);
      limits.recordAnswer(serverId, metadata.perSecondLimit);
      if (metadata.backoffMs === undefined) return;
      limits.backoffs.record(serverId, metadata.backoffMs, source);
      ramps.recordBackoff(serverId, metadata.backoffMs);
    },
  };
}
