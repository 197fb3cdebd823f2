import { Option } from 'clipanion';
import { describeError } from '@endiveferry/base';
import { err, ok, type Result } from 'neverthrow';
import { request } from 'undici';

import { BaseCommand } from './BaseCommand.js';

const DEFAULT_OPERATORS_ADDRESS = '127.0.0.1:8081';
const TIMEOUT_MS = 5_000;

/**
 * Asks a host's operators' listener.
 *
 * @param address - `ip:port` of the listener
 * @param token - its token, if it has one
 * @param method - the HTTP method
 * @param path - the path
 * @returns the answer, or why there is none
 * @internal
 */
export async function sendHostRequest(
  address: string,
  token: string | undefined,
  method: 'GET' | 'POST',
  path: string,
): Promise<Result<unknown, string>> {
  try {
    const answer = await request(`http://${address}${path}`, {
      method,
      headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const body = (await answer.body.json()) as { error?: string };
    if (answer.statusCode < 300) return ok(body);
    return err(`${address} answered ${answer.statusCode}: ${body.error ?? 'no reason given'}`);
  } catch (error) {
    return err(`${address} cannot be asked: ${describeError(error)}`);
  }
}

/**
 * A command that asks hosts over their operators' listeners.
 *
 * @internal
 */
export abstract class OperatorsCommand extends BaseCommand {
  operators = Option.Array('--operators', {
    description: `ip:port of an operators' listener; may be given once for each host`,
  });

  token = Option.String('--token', {
    description: 'token of the operators listeners',
    env: 'ENDIVEFERRY_OPERATORS_TOKEN',
  });

  /** The addresses named, or the usual one on this machine. */
  protected listAddresses(): readonly string[] {
    return this.operators ?? [DEFAULT_OPERATORS_ADDRESS];
  }

  /** Asks every host that was named; the answers come in the order of the options. */
  protected async fetchFromHosts(path: string) {
    return Promise.all(
      this.listAddresses().map(async (address) => ({
        address,
        answer: await sendHostRequest(address, this.token, 'GET', path),
      })),
    );
  }
}
