import type { IncomingMessage, ServerResponse } from 'node:http';

import {
  createNotRunFailure,
  describeError,
  guardListeners,
  MAX_TIMER_MS,
  type Clock,
  type Failure,
  type Random,
  type RequestId,
} from '@endiveferry/base';
import {
  addRetryDelay,
  type CallerConnection,
  type CallerLimits,
  type CallerRequest,
  type RelayService,
  type StopDeadline,
  type WireProtocol,
} from '@endiveferry/relay';
import type { Logger } from '@endiveferry/telemetry';

import { createCallerConnection } from '../createCallerConnection.js';
import { createHttpServer, type HttpServer } from '../createHttpServer.js';
import { discardRest } from '../discardRest.js';
import type { ListenerLimitsSet } from '../createListenerLimits.js';
import { createResponder } from './createResponder.js';

/**
 * Maximum size of headers that the HTTP server reads, in bytes. The configured limit is lower and
 * may change while the server runs.
 */
const MAX_READ_HEADER_BYTES = 65_536;
/** Interval at which connections are checked for timeouts, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;
/** Time that idle connections are kept after callers stop using them, in milliseconds. */
const IDLE_SLACK_MS = 1_000;
/** Limits that apply before the first configuration is known. */
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Options of {@link createRelayListener}. @internal */
export interface RelayListenerOptions {
  readonly clock: Clock;
  readonly service: Pick<RelayService, 'serve'>;
  readonly protocol: WireProtocol;
  readonly logger: Logger;
  /** Returns the configured limits, or undefined before the first configuration. */
  readonly getLimits: () => CallerLimits | undefined;
  readonly isStopping: () => boolean;
  readonly stopDeadline: StopDeadline;
  readonly limits: Pick<ListenerLimitsSet, 'bodies' | 'callers' | 'unread'>;
  /** Source of the jitter in retry delays. */
  readonly random: Random;
}

/** HTTP listener for callers. @internal */
export interface RelayListener extends HttpServer {
  /** Applies the timeouts that the HTTP server itself enforces. */
  applyLimits(limits: CallerLimits): void;
  /** Returns the number of responses that have not been written in full. */
  readonly countOpen: () => number;
  /** Breaks off all of these. */
  abortOpen(): void;
}

function countHeaderBytes({ rawHeaders, url = '' }: IncomingMessage): number {
  // Names and values alternate, and each header line adds ': ' and CRLF, so two bytes per text.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, url.length);
}

/**
 * Creates the listener for callers, whose requests are forwarded unchanged.
 *
 * @param options - see {@link RelayListenerOptions}
 * @returns the listener, not yet listening
 * @internal
 */
export function createRelayListener(options: RelayListenerOptions): RelayListener {
  const { clock, service, protocol, logger, isStopping, limits, random } = options;
  const getLimits = () => options.getLimits() ?? DEFAULT_LIMITS;
  const open = new Set<ServerResponse>();
  /** Ids of the requests whose complete responses have not been written in full. */
  const unwritten = new Map<ServerResponse, RequestId>();

  function reject(request: IncomingMessage, response: ServerResponse, failure: Failure): void {
    logger.info('a request was rejected while it was read', {
      reason: failure.reason,
      detail: failure.detail,
    });
    // The rest of the request is not used, so the connection cannot serve another request.
    if (!request.complete) discardRest(request);
    const delayed = failure.retryAfterMs === undefined ? failure : addRetryDelay(failure, random);
    createResponder(response, () => true).send(protocol.buildFailureResponse(delayed, undefined));
  }

  async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const connection = createCallerConnection(request, response, clock);
    const { maxHeaderBytes, maxBodyBytes, idleTimeoutMs } = getLimits();
    const headerBytes = countHeaderBytes(request);
    if (headerBytes > maxHeaderBytes) {
      reject(
        request,
        response,
        createNotRunFailure('headers-too-large', 'the headers are longer than allowed'),
      );
      return;
    }
    const stopReading = options.stopDeadline.watch(() =>
      reject(request, response, createNotRunFailure('draining', 'this host stops')),
    );
    const body = await limits.bodies.read(request, {
      maxBytes: maxBodyBytes,
      headerBytes,
      idleTimeoutMs,
    });
    stopReading();
    if (body.isErr()) {
      if (!response.writableEnded) reject(request, response, body.error);
      return;
    }
    try {
      if (!response.writableEnded) await forward(request, response, connection, body.value.bytes);
    } finally {
      body.value.release();
    }
  }

  async function forward(
    request: IncomingMessage,
    response: ServerResponse,
    connection: CallerConnection,
    body: Buffer,
  ): Promise<void> {
    const callerRequest: CallerRequest = {
      method: request.method ?? 'GET',
      target: request.url ?? '/',
      rawHeaders: request.rawHeaders,
      headers: request.headers,
      body,
    };
    const responder = createResponder(response, () => isStopping() && http.isLastOpen(response));
    const requestId = await service.serve(callerRequest, responder, connection);
    if (requestId !== undefined && open.has(response)) unwritten.set(response, requestId);
    limits.unread.hold(response, () => {
      logger.info('a response that its caller does not read was broken off', {
        requestId,
        unreadBytes: response.writableLength,
      });
      responder.abort();
    });
  }

  const http = createHttpServer(
    () => undefined,
    {
      // Handles all requests, because their paths are defined by the configuration.
      onNoMatch(request, response) {
        open.add(response);
        response.once('close', () => {
          open.delete(response);
          unwritten.delete(response);
        });
        serve(request, response).catch((error: unknown) => {
          logger.error('unexpected error while serving a request', { error: describeError(error) });
          response.destroy();
        });
      },
    },
    { ...limits.callers, hasBodies: true },
    {
      maxHeaderSize: MAX_READ_HEADER_BYTES,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      noDelay: true,
    },
  );
  http.server.on('connection', (socket) =>
    guardListeners(socket, (error, event) => {
      logger.error('a listener failed; closing its connection to a caller', {
        event,
        error: describeError(error),
      });
      socket.destroy();
    }),
  );
  const applyLimits = ({ headerTimeoutMs, idleTimeoutMs }: CallerLimits) => {
    http.server.headersTimeout = headerTimeoutMs;
    http.server.keepAliveTimeout = Math.min(idleTimeoutMs + IDLE_SLACK_MS, MAX_TIMER_MS);
  };
  applyLimits(DEFAULT_LIMITS);
  return {
    ...http,
    applyLimits,
    countOpen: () => open.size,
    abortOpen() {
      for (const [response, requestId] of unwritten) {
        logger.warn('a response is cut off at the end of the stop', {
          requestId,
          unreadBytes: response.writableLength,
        });
      }
      for (const response of open) createResponder(response, isStopping).abort();
    },
  };
}
