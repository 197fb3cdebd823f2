import { createHash, timingSafeEqual } from 'node:crypto';

import { listEntries, type WorkspaceId } from '@endiveferry/base';
import type { Configuration } from '@endiveferry/settings';

const HASH_PREFIX = 'sha256:';
const BEARER_PREFIX = 'Bearer ';

/** Finds the workspace that a request's `Authorization` header belongs to. @internal */
export type Authenticate = (authorization: string | undefined) => WorkspaceId | undefined;

/**
 * Creates the check of callers' tokens. Its duration does not depend on which token matches, so that
 * timing reveals nothing about the tokens.
 *
 * @param configuration - holds the token hashes of the workspaces
 * @returns a function that finds the workspace of a token
 * @internal
 */
export function createAuthenticator(configuration: Configuration): Authenticate {
  const keys = listEntries(configuration.workspaces).flatMap(([workspaceId, workspace]) =>
    workspace.keyHashes.map((hash) => ({
      workspaceId,
      digest: Buffer.from(hash.slice(HASH_PREFIX.length), 'hex'),
    })),
  );
  return (authorization) => {
    if (authorization?.startsWith(BEARER_PREFIX) !== true) return undefined;
    const token = authorization.slice(BEARER_PREFIX.length);
    const digest = createHash('sha256').update(token).digest();
    let found: WorkspaceId | undefined;
    for (const key of keys) {
      if (timingSafeEqual(key.digest, digest)) found = key.workspaceId;
    }
    return found;
  };
}
