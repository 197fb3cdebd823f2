import type { IncomingMessage, ServerResponse } from 'node:http';

import {
  createNotRunFailure,
  requestIdSchema,
  type Clock,
  type Failure,
  type HostId,
  type ProcessId,
  type RequestId,
  type WorkspaceId,
} from '@endiveferry/base';
import type { TlsKeys } from '@endiveferry/peers';
import type { ProgressEvent } from '@endiveferry/pipeline';
import type { Configuration } from '@endiveferry/settings';
import type { Logger, Metrics } from '@endiveferry/telemetry';
import { err, ok, type Result } from 'neverthrow';
import type { Middleware, Request } from 'polka';

import { buildProblem } from './buildProblem.js';
import { createAuthenticator, type Authenticate } from './createAuthenticator.js';
import type { BodyReader } from './createBodyReader.js';
import { createCallerConnection } from './createCallerConnection.js';
import type { ConnectionLimits } from './createConnectionGuard.js';
import { discardRest } from './discardRest.js';
import { createHttpServer, type HttpServer } from './createHttpServer.js';
import type { RequestService, ServiceResponse } from './createRequestService.js';
import { parseCall, type ParsedCall } from './parseCall.js';
import { parseBody } from './parseBody.js';
import { sendJson } from './sendJson.js';

/** Maximum number of idempotency keys that one call may request. */
const MAX_ISSUED_KEYS = 100;
const DRAINING_RETRY_AFTER_MS = 1_000;
/** Maximum size of headers, in bytes, which is the default of the HTTP server. */
const MAX_HEADER_BYTES = 16_384;
/** Time in which the headers of a request must arrive, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Time that a body may arrive without content, in milliseconds. */
const BODY_IDLE_TIMEOUT_MS = 15_000;

/**
 * Options of the callers' listener.
 *
 * @internal
 */
export interface CallersListenerOptions {
  readonly findKeys: () => TlsKeys | undefined;
  readonly hostId: HostId;
  readonly processId: ProcessId;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly service: RequestService;
  readonly getConfiguration: () => Configuration | undefined;
  readonly issueKey: (workspaceId: WorkspaceId) => string;
  /** Whether new requests are rejected because the host is about to stop. */
  readonly isRejecting: () => boolean;
  readonly bodies: BodyReader;
  readonly limits: ConnectionLimits;
}

/** Closes the connection of a request whose body is not read, once its response is sent. */
function closeUnread(request: IncomingMessage, response: ServerResponse): void {
  if (request.complete) return;
  response.setHeader('connection', 'close');
  discardRest(request);
}

function sendProblem(response: ServerResponse, requestId: RequestId, failure: Failure): void {
  const { problem, headers } = buildProblem(requestId, failure);
  response.writeHead(problem.status, { 'content-type': 'application/problem+json', ...headers });
  response.end(JSON.stringify(problem));
}

function sendEvent(response: ServerResponse, event: string, data: unknown): void {
  response.write(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`);
}

function buildResponseBody(requestId: RequestId, call: ParsedCall, result: ServiceResponse) {
  const { output, tokens, isReplay } = result;
  return { requestId, pipeline: call.pipelineId, output, tokens, isReplay };
}

/** Sends the head with the first event, so that an early rejection can have its own status code. */
function createEventStream(response: ServerResponse) {
  let isOpen = false;
  const open = () => {
    if (isOpen) return;
    isOpen = true;
    response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' });
  };
  return {
    isOpen: () => isOpen,
    send(event: string, data: unknown) {
      open();
      sendEvent(response, event, data);
    },
  };
}

/**
 * Creates the callers' listener.
 *
 * @param options - see {@link CallersListenerOptions}
 * @returns the server, not yet listening
 * @internal
 */
export function createCallersListener(options: CallersListenerOptions): HttpServer {
  const { clock, logger, metrics, service, getConfiguration } = options;
  let nextNumber = 0;
  let authenticator: { configuration: Configuration; authenticate: Authenticate } | undefined;

  function createRequestId(): RequestId {
    nextNumber += 1;
    return requestIdSchema.parse(
      `${options.hostId}.${options.processId}.${nextNumber.toString(36)}`,
    );
  }

  function authenticate(
    configuration: Configuration,
    request: IncomingMessage,
  ): Result<WorkspaceId, Failure> {
    if (authenticator?.configuration !== configuration) {
      authenticator = { configuration, authenticate: createAuthenticator(configuration) };
    }
    const workspaceId = authenticator.authenticate(request.headers.authorization);
    if (workspaceId !== undefined) return ok(workspaceId);
    return err(createNotRunFailure('unauthenticated', 'the bearer token belongs to no workspace'));
  }

  /** Checks that apply to every endpoint. */
  function admitCaller(
    request: IncomingMessage,
  ): Result<{ configuration: Configuration; workspaceId: WorkspaceId }, Failure> {
    const configuration = getConfiguration();
    if (options.isRejecting() || configuration === undefined) {
      const detail = 'this host accepts no requests at present; retry on another host';
      return err(createNotRunFailure('draining', detail, DRAINING_RETRY_AFTER_MS));
    }
    return authenticate(configuration, request).map((workspaceId) => ({
      configuration,
      workspaceId,
    }));
  }

  async function serveJson(
    call: ParsedCall,
    context: Parameters<RequestService['serve']>[1],
    response: ServerResponse,
  ): Promise<void> {
    const result = await service.serve(call, context);
    if (result.isErr()) sendProblem(response, context.requestId, result.error);
    else sendJson(response, 200, buildResponseBody(context.requestId, call, result.value));
  }

  async function serveStream(
    call: ParsedCall,
    context: Parameters<RequestService['serve']>[1],
    response: ServerResponse,
  ): Promise<void> {
    const stream = createEventStream(response);
    let hasToken = false;
    const onProgress = ({ type, ...data }: ProgressEvent) => {
      if (type === 'token' && !hasToken) {
        hasToken = true;
        metrics.recordFirstToken(call.rankId, clock.now() - context.arrivedAt);
      }
      stream.send(type, data);
    };
    const result = await service.serve(call, { ...context, onProgress });
    if (result.isOk()) {
      stream.send('answer', buildResponseBody(context.requestId, call, result.value));
      response.end();
    } else if (stream.isOpen()) {
      stream.send('problem', buildProblem(context.requestId, result.error).problem);
      response.end();
    } else {
      sendProblem(response, context.requestId, result.error);
    }
  }

  async function handleRequest(
    request: Request,
    response: ServerResponse,
    requestId: RequestId,
  ): Promise<Result<void, Failure>> {
    const arrivedAt = clock.now();
    const caller = admitCaller(request);
    if (caller.isErr()) return err(caller.error);
    const { configuration, workspaceId } = caller.value;
    const pipeline = request.params.pipeline ?? '';
    const call = parseCall(configuration, workspaceId, pipeline, request.headers);
    if (call.isErr()) return err(call.error);
    const connection = createCallerConnection(request, response, clock);
    const held = await options.bodies.read(request, {
      maxBytes: configuration.limits.maxBodyBytes,
      headerBytes: MAX_HEADER_BYTES,
      idleTimeoutMs: BODY_IDLE_TIMEOUT_MS,
    });
    if (held.isErr()) return err(held.error);
    try {
      const body = parseBody(held.value.bytes);
      if (body.isErr()) return err(body.error);
      if (!(await connection.confirm())) {
        logger.info('request not run: its caller left before', { requestId });
        return err(createNotRunFailure('cancelled', 'the caller disconnected'));
      }
      const context = { requestId, arrivedAt, body: body.value, signal: connection.signal };
      if (call.value.wantsStream) await serveStream(call.value, context, response);
      else await serveJson(call.value, context, response);
      return ok();
    } finally {
      held.value.release();
    }
  }

  function handleKeys(request: Request, response: ServerResponse): Result<void, Failure> {
    const caller = admitCaller(request);
    if (caller.isErr()) return err(caller.error);
    const count = Number(request.query.count ?? 1);
    if (!Number.isInteger(count) || count < 1 || count > MAX_ISSUED_KEYS) {
      const detail = `count must be an integer from 1 to ${MAX_ISSUED_KEYS}`;
      return err(createNotRunFailure('bad-request', detail));
    }
    const keys = Array.from({ length: count }, () => options.issueKey(caller.value.workspaceId));
    closeUnread(request, response);
    sendJson(response, 201, { keys });
    return ok();
  }

  /** Assigns each request its id, and sends the problem details when the handler fails. */
  function createMiddleware(
    handle: (
      request: Request,
      response: ServerResponse,
      requestId: RequestId,
    ) => Result<void, Failure> | Promise<Result<void, Failure>>,
  ): Middleware {
    return async (request, response) => {
      const requestId = createRequestId();
      response.setHeader('endiveferry-request-id', requestId);
      if (options.isRejecting()) response.setHeader('connection', 'close');
      const result = await handle(request, response, requestId);
      if (result.isOk()) return;
      closeUnread(request, response);
      sendProblem(response, requestId, result.error);
    };
  }

  const http = createHttpServer(
    options.findKeys,
    {
      onNoMatch: (request, response) => {
        closeUnread(request, response);
        sendProblem(response, createRequestId(), createNotRunFailure('not-found', 'unknown path'));
      },
      onError: (_error, request, response) => {
        closeUnread(request, response);
        const failure = { reason: 'internal', detail: 'internal error' } as const;
        sendProblem(response, createRequestId(), { ...failure, execution: 'may-have-run' });
      },
    },
    { ...options.limits, hasBodies: true },
    { headersTimeout: HEADERS_TIMEOUT_MS },
  );
  http.app.post('/v1/pipelines/:pipeline/requests', createMiddleware(handleRequest));
  http.app.post('/v1/idempotency-keys', createMiddleware(handleKeys));
  return http;
}
