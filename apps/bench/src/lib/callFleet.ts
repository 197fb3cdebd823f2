import { request, type Dispatcher } from 'undici';

/**
 * One call to a daemon, as an experiment or test makes it.
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
 * What a caller was told.
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
 * Sends one call and reads the whole reply.
 *
 * @param call - the call
 * @returns what the caller was told
 * @throws Error when there is no reply
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
  const answer = await request(`http://${call.address}/v1/pipelines/${call.pipeline}/requests`, {
    method: 'POST',
    headers,
    body: JSON.stringify(call.body),
    ...(call.signal === undefined ? {} : { signal: call.signal }),
    ...(call.dispatcher === undefined ? {} : { dispatcher: call.dispatcher }),
  });
  const body = (await answer.body.json()) as Omit<FleetReply, 'status'>;
  return { ...body, status: answer.statusCode };
}

/**
 * Asks a daemon for an idempotency key.
 *
 * @param address - its callers' address
 * @param token - the workspace's token
 * @returns the key
 * @public
 */
export async function fetchKey(address: string, token: string): Promise<string> {
  const answer = await request(`http://${address}/v1/idempotency-keys`, {
    method: 'POST',
    headers: { authorization: `Bearer ${token}` },
  });
  const { keys } = (await answer.body.json()) as { keys: string[] };
  return keys[0] ?? '';
}
