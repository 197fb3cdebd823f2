import type { ServerResponse } from 'node:http';

/**
 * Sends a JSON document as the complete response.
 *
 * @param response - the HTTP response
 * @param status - the HTTP status code
 * @param body - the document
 * @internal
 */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}
