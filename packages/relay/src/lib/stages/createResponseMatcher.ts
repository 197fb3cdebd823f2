import type { RequestId } from '@endiveferry/base';
import type { CallIds, ResponseStart, SentId } from '@endiveferry/routing';
import type { Logger } from '@endiveferry/telemetry';

import type { RelayMetrics } from '../createRelayMetrics.js';
import type { ResponseMetadata, WireProtocol } from '../ports.js';
import type { ListedServer } from '../RelayConfiguration.js';

/** Part of a call that sends an id and checks that of the response. @public */
export interface MatchedCall {
  readonly ids?: CallIds;
  readonly onStart: (start: ResponseStart) => boolean;
}

/**
 * Checks that a response on a kept connection belongs to the call that was sent. A faulty server may
 * send a response again late, at the point where the next one is expected.
 *
 * @public
 */
export interface ResponseMatcher {
  /**
   * Starts a call.
   *
   * @param server - the server that it goes to
   * @param connections - identifies the process of the server, whose behaviour is remembered
   * @param requestIds - ids that the call may carry; without any, its response may have no id
   * @returns the part of the call that sends an id and checks that of the response
   */
  startCall(
    server: ListedServer,
    connections: object,
    requestIds: readonly RequestId[],
  ): MatchedCall;
}

/** Options of {@link createResponseMatcher}. @public */
export interface ResponseMatcherOptions {
  readonly logger: Logger;
  readonly protocol: Pick<WireProtocol, 'parseResponse' | 'requestIdHeader'>;
  readonly metrics: Pick<RelayMetrics, 'recordForeignResponse'>;
}

/**
 * Creates what matches responses with calls; it has seen no response yet.
 *
 * @param options - see {@link ResponseMatcherOptions}
 * @returns the matcher
 * @public
 */
export function createResponseMatcher(options: ResponseMatcherOptions): ResponseMatcher {
  const { logger, protocol, metrics } = options;
  /** Whether the servers whose responses were seen echo ids. */
  const echoes = new WeakMap<object, boolean>();

  function recordSilence(server: ListedServer, connections: object): void {
    if (echoes.get(connections) === false) return;
    echoes.set(connections, false);
    logger.warn('a backend server does not echo ids; its responses cannot be told apart', {
      backendServer: server.serverId,
      pool: server.poolId,
    });
  }

  /** Returns why a response cannot be that of the call; undefined when it can. */
  function findMismatch(
    server: ListedServer,
    connections: object,
    sent: SentId | undefined,
    metadata: ResponseMetadata,
  ): string | undefined {
    if (hasId(metadata)) {
      if (metadata.requestId !== sent?.id) return 'the response has the id of another call';
      echoes.set(connections, true);
      return undefined;
    }
    // A server rejects some calls before it reads their ids. The connection is closed after that.
    if (sent === undefined || isNotRun(metadata)) return undefined;
    // No earlier response can arrive on a new connection, so the server has stopped to echo ids.
    if (echoes.get(connections) === true && !sent.isFirstOnConnection)
      return 'the response has no id, although the server has echoed ids before';
    recordSilence(server, connections);
    return undefined;
  }

  function checkResponse(
    server: ListedServer,
    connections: object,
    sent: SentId | undefined,
    start: ResponseStart,
  ): void {
    const metadata = protocol.parseResponse(start.status, start.headers);
    const detail = findMismatch(server, connections, sent, metadata);
    if (detail !== undefined) {
      metrics.recordForeignResponse(server.poolId);
      logger.warn('response of another call discarded; closing its connection', {
        backendServer: server.serverId,
        pool: server.poolId,
        status: start.status,
        sentId: sent?.id,
        receivedId: metadata.requestId,
        detail,
      });
      start.abort(new Error(detail));
    } else if (isNotRun(metadata) && !hasId(metadata)) start.discardBody();
  }

  return {
    startCall(server, connections, requestIds) {
      let sent: SentId | undefined;
      const onStart = (start: ResponseStart) => {
        checkResponse(server, connections, sent, start);
        return false;
      };
      if (requestIds.length === 0) return { onStart };
      const ids = {
        headerName: protocol.requestIdHeader,
        candidates: [...new Set(requestIds)],
        onChosen: (chosen: SentId) => (sent = chosen),
      };
      return { ids, onStart };
    },
  };
}

const hasId = ({ requestId }: ResponseMetadata) => requestId !== undefined && requestId !== '';

const isNotRun = ({ isRejection, isMisdirected }: ResponseMetadata) => isRejection || isMisdirected;
