import type { IncomingMessage, ServerResponse } from 'node:http';

import {
  createNotRunFailure,
  describeError,
  NO_LONGER_NEEDED,
  type Failure,
} from '@endiveferry/base';
import type { CallerLimits, CallerRequest, RelayService, WireProtocol } from '@endiveferry/relay';
import type { Logger } from '@endiveferry/telemetry';

import { createHttpServer, type HttpServer } from '../createHttpServer.js';
import { readRawBody } from '../readBody.js';
import { createResponder } from './createResponder.js';

/** Most bytes of headers that are read at all; the configured limit is lower and may change. */
const HARD_HEADER_BYTES = 65_536;
/** How often connections are looked at for their timeouts, in milliseconds. */
const TIMEOUT_CHECK_MS = 500;
/** Idle connections are kept this much longer than callers use them, in milliseconds. */
const IDLE_SLACK_MS = 1_000;
/** Limits until a configuration is known. */
const FIRST_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Options of the callers' listener. @internal */
export interface RelayListenerOptions {
  readonly service: Pick<RelayService, 'serve'>;
  readonly protocol: WireProtocol;
  readonly logger: Logger;
  readonly findLimits: () => CallerLimits | undefined;
  readonly isStopping: () => boolean;
}

/** The callers' listener. @internal */
export interface RelayListener extends HttpServer {
  /** Takes over limits that the server itself keeps. */
  applyLimits(limits: CallerLimits): void;
}

function countHeaderBytes({ rawHeaders, url = '' }: IncomingMessage): number {
  // A name, a value, a colon, a space and a line end each.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, url.length);
}

/**
 * Creates the listener for callers whose requests are passed on unchanged.
 *
 * @param options - see {@link RelayListenerOptions}
 * @returns the listener, which does not listen yet
 * @internal
 */
export function createRelayListener(options: RelayListenerOptions): RelayListener {
  const { service, protocol, logger, isStopping } = options;
  const findLimits = () => options.findLimits() ?? FIRST_LIMITS;

  function refuse(response: ServerResponse, failure: Failure): void {
    logger.info('a request could not be read', { reason: failure.reason, detail: failure.detail });
    // What is left of the request is not read, so the connection cannot serve another.
    createResponder(response, () => true).send(protocol.buildFailureResponse(failure, undefined));
  }

  async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const left = new AbortController();
    response.once('close', () => left.abort(NO_LONGER_NEEDED));
    const { maxHeaderBytes, maxBodyBytes } = findLimits();
    if (countHeaderBytes(request) > maxHeaderBytes) {
      refuse(
        response,
        createNotRunFailure('headers-too-large', 'the headers are longer than allowed'),
      );
      return;
    }
    const body = await readRawBody(request, maxBodyBytes);
    if (body.isErr()) {
      refuse(response, body.error);
      return;
    }
    const call: CallerRequest = {
      method: request.method ?? 'GET',
      target: request.url ?? '/',
      rawHeaders: request.rawHeaders,
      headers: request.headers,
      body: body.value,
    };
    await service.serve(call, createResponder(response, isStopping), left.signal);
  }

  const http = createHttpServer(
    () => undefined,
    {
      // All requests come here: which paths exist is in the configuration, not in the program.
      onNoMatch(request, response) {
        serve(request, response).catch((error: unknown) => {
          logger.error('serving a request failed', { error: describeError(error) });
          response.destroy();
        });
      },
    },
    {
      maxHeaderSize: HARD_HEADER_BYTES,
      connectionsCheckingInterval: TIMEOUT_CHECK_MS,
      noDelay: true,
    },
  );
  const applyLimits = ({ headerTimeoutMs, idleTimeoutMs }: CallerLimits) => {
    http.server.headersTimeout = headerTimeoutMs;
    http.server.keepAliveTimeout = idleTimeoutMs + IDLE_SLACK_MS;
  };
  applyLimits(FIRST_LIMITS);
  return { ...http, applyLimits };
}
