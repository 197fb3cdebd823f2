import type { IncomingMessage } from 'node:http';

import { describeError } from '@endiveferry/base';
import type { CallerRequest, ExplainRoute, WireProtocol } from '@endiveferry/relay';
import type { Metrics } from '@endiveferry/telemetry';
import { z } from 'zod';

import type { BodyReader } from '../createBodyReader.js';
import type { ConnectionLimits } from '../createConnectionGuard.js';
import { createHttpServer, type HttpServer } from '../createHttpServer.js';
import { parseBody } from '../parseBody.js';
import { sendJson } from '../sendJson.js';

/** Path at which a request is explained, see `endiveferry route`. */
const ROUTE_PATH = '/v1/route';
/** Limits of the description of a request; its body is not part of it. */
const DESCRIPTION_LIMITS = { maxBytes: 65_536, headerBytes: 16_384, idleTimeoutMs: 5_000 };
/** Id of a described request that has none. It is never sent. */
const EXPLAINED_REQUEST_ID = 'explained';

const descriptionSchema = z.object({
  target: z.string().startsWith('/'),
  headers: z.record(z.string(), z.string()),
});

/** Options of {@link createMetricsListener}. @internal */
export interface MetricsListenerOptions {
  readonly metrics: Pick<Metrics, 'format'>;
  readonly protocol: Pick<WireProtocol, 'requestIdHeader'>;
  readonly explain: ExplainRoute;
  readonly bodies: BodyReader;
  /** Limits of its connections. */
  readonly limits: ConnectionLimits;
}

/**
 * Creates a listener for operators. It explains requests, and serves the metrics at any other path.
 *
 * @param options - see {@link MetricsListenerOptions}
 * @returns the listener, not yet listening
 * @internal
 */
export function createMetricsListener(options: MetricsListenerOptions): HttpServer {
  const { metrics, protocol, explain, bodies } = options;

  /** Builds the request that a description stands for. */
  async function readDescription(request: IncomingMessage): Promise<CallerRequest | undefined> {
    const held = await bodies.read(request, DESCRIPTION_LIMITS);
    if (held.isErr()) return undefined;
    const body = parseBody(held.value.bytes);
    held.value.release();
    const description = descriptionSchema.safeParse(body.unwrapOr(undefined));
    if (!description.success) return undefined;
    const entries = Object.entries(description.data.headers).map(
      ([name, value]) => [name.toLowerCase(), value] as const,
    );
    const headers = {
      [protocol.requestIdHeader]: EXPLAINED_REQUEST_ID,
      ...Object.fromEntries(entries),
    };
    return {
      method: 'POST',
      target: description.data.target,
      headers,
      rawHeaders: Object.entries(headers).flat(),
      body: Buffer.alloc(0),
    };
  }

  const http = createHttpServer(
    () => undefined,
    {
      async onNoMatch(_request, response) {
        const text = await metrics.format();
        response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
        response.end(text);
      },
    },
    { ...options.limits, hasBodies: false, bodyPath: ROUTE_PATH },
  );
  http.app.post(ROUTE_PATH, (request, response) => {
    readDescription(request)
      .then((described) => {
        if (described === undefined)
          sendJson(response, 400, { error: 'a request needs a target and headers' });
        else sendJson(response, 200, explain(described));
      })
      .catch((error: unknown) => sendJson(response, 500, { error: describeError(error) }));
  });
  return http;
}
