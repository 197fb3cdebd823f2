import { Option } from 'clipanion';
import { describeError } from '@endiveferry/base';
import { err, ok, type Result } from 'neverthrow';
import { request } from 'undici';

import { BaseCommand } from './BaseCommand.js';

const DEFAULT_OPERATORS_ADDRESS = '127.0.0.1:8081';
const REQUEST_TIMEOUT_MS = 5_000;

/**
 * Sends a request to the operators listener of a host.
 *
 * @param address - `ip:port` of the listener
 * @param token - bearer token; undefined for a listener that requires none
 * @param method - the HTTP method
 * @param path - the request path
 * @param body - JSON body; undefined for none
 * @returns the parsed JSON body, or a message that says why the request failed
 * @internal
 */
export async function sendHostRequest(
  address: string,
  token: string | undefined,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
): Promise<Result<unknown, string>> {
  try {
    const response = await request(`http://${address}${path}`, {
      method,
      headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    const reply = (await response.body.json()) as { error?: string };
    if (response.statusCode < 300) return ok(reply);
    return err(
      `${address} responded with ${response.statusCode}: ${reply.error ?? 'no reason given'}`,
    );
  } catch (error) {
    return err(`request to ${address} failed: ${describeError(error)}`);
  }
}

/**
 * Base class of commands that query hosts through their operators listeners.
 *
 * @internal
 */
export abstract class OperatorsCommand extends BaseCommand {
  operators = Option.Array('--operators', {
    description: `ip:port of an operators listener; may be repeated; defaults to 127.0.0.1:8081`,
  });

  token = Option.String('--token', {
    description: 'bearer token of the operators listeners',
    env: 'ENDIVEFERRY_OPERATORS_TOKEN',
  });

  /** Returns the addresses given by `--operators`, or else the default one on this machine. */
  protected listAddresses(): readonly string[] {
    return this.operators ?? [DEFAULT_OPERATORS_ADDRESS];
  }

  /** Sends a GET request to every address; results are in the order of the addresses. */
  protected async fetchFromHosts(path: string) {
    return Promise.all(
      this.listAddresses().map(async (address) => ({
        address,
        result: await sendHostRequest(address, this.token, 'GET', path),
      })),
    );
  }
}
