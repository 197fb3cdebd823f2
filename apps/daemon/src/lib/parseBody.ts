import { createNotRunFailure, describeError, type Failure } from '@endiveferry/base';
import { err, ok, type Result } from 'neverthrow';

/**
 * Parses a JSON body.
 *
 * @param bytes - the body
 * @returns the parsed body, or the reason for its rejection
 * @internal
 */
export function parseBody(bytes: Buffer): Result<unknown, Failure> {
  try {
    return ok(JSON.parse(bytes.toString('utf8')));
  } catch (error) {
    return err(createNotRunFailure('bad-request', `the body is not JSON: ${describeError(error)}`));
  }
}
