import type { IncomingMessage } from 'node:http';

import { createNotRunFailure, describeError, type Failure } from '@endiveferry/base';
import { err, ok, type Result } from 'neverthrow';

/**
 * Reads a body of limited size.
 *
 * @param request - the HTTP request
 * @param maxBytes - maximum size of the body, in bytes
 * @returns the bytes, or the reason for their rejection
 * @internal
 */
export async function readRawBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, Failure>> {
  const tooLarge = createNotRunFailure(
    'body-too-large',
    `the body is longer than ${maxBytes} bytes`,
  );
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) return err(tooLarge);
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maxBytes) return err(tooLarge);
      chunks.push(chunk);
    }
    return ok(Buffer.concat(chunks));
  } catch (error) {
    return err(createNotRunFailure('bad-request', `the body ended early: ${describeError(error)}`));
  }
}

/**
 * Reads a JSON body of limited size.
 *
 * @param request - the HTTP request
 * @param maxBytes - maximum size of the body, in bytes
 * @returns the parsed body, or the reason for its rejection
 * @internal
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<unknown, Failure>> {
  const bytes = await readRawBody(request, maxBytes);
  return bytes.andThen((body): Result<unknown, Failure> => {
    try {
      return ok(JSON.parse(body.toString('utf8')));
    } catch (error) {
      return err(
        createNotRunFailure('bad-request', `the body is not JSON: ${describeError(error)}`),
      );
    }
  });
}
