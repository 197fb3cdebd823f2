import { request, type Dispatcher } from 'undici';

/**
 * One request of an experiment or test to a daemon.
 *
 * @public
 */
export interface FleetCall {
  readonly address: string;
  readonly pipeline: string;
  readonly token: string;
  readonly body: unknown;
  readonly rank?: string;
  readonly key?: string;
  readonly deadlineMs?: number;
  readonly signal?: AbortSignal;
  readonly dispatcher?: Dispatcher;
}

/**
 * Response that a caller received from a daemon.
 *
 * @public
 */
export interface FleetReply {
  readonly status: number;
  readonly requestId: string;
  /** Absent when the request failed. */
  readonly output?: unknown;
  readonly isReplay?: boolean;
  /** Present when the request failed. */
  readonly title?: string;
  readonly execution?: string;
  readonly detail?: string;
}

/**
 * Sends one request and reads the complete response.
 *
 * @param call - the request
 * @returns the response, of a success or a failure
 * @throws Error when the connection fails, the signal aborts, or the response is not JSON
 * @public
 */
export async function callFleet(call: FleetCall): Promise<FleetReply> {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    authorization: `Bearer ${call.token}`,
  };
  if (call.rank !== undefined) headers['endiveferry-rank'] = call.rank;
  if (call.key !== undefined) headers['idempotency-key'] = call.key;
  if (call.deadlineMs !== undefined) headers['endiveferry-deadline-ms'] = String(call.deadlineMs);
  const response = await request(`http://${call.address}/v1/pipelines/${call.pipeline}/requests`, {
    method: 'POST',
    headers,
    body: JSON.stringify(call.body),
    ...(call.signal === undefined ? {} : { signal: call.signal }),
    ...(call.dispatcher === undefined ? {} : { dispatcher: call.dispatcher }),
  });
  const body = (await response.body.json()) as Omit<FleetReply, 'status'>;
  return { ...body, status: response.statusCode };
}

/**
 * Requests an idempotency key from a daemon.
 *
 * @param address - the daemon's address for callers
 * @param token - the workspace's bearer token
 * @returns the key; empty when the daemon issued none
 * @throws Error when the connection fails or the response is not JSON
 * @public
 */
export async function fetchIdempotencyKey(address: string, token: string): Promise<string> {
  const response = await request(`http://${address}/v1/idempotency-keys`, {
    method: 'POST',
    headers: { authorization: `Bearer ${token}` },
  });
  const { keys } = (await response.body.json()) as { keys: string[] };
  return keys[0] ?? '';
}
