import { createHash } from 'node:crypto';

import type { WorkspaceId } from '@endiveferry/base';

import { listSharedPartIds } from '../servers/listSharedParts.js';
import type { CallerRequest, RequestMetadata } from '../ports.js';

/** Length of a request's id in characters of 6 bits each, so that callers cannot find collisions. */
const ID_LENGTH = 22;
const REQUEST_PREFIX = 'request/';

/** Ids under which crashes of backend servers are recorded for one request. @internal */
export interface SuspectIds {
  /** Returns the ids of the prompt parts that other requests may share. */
  readonly listParts: () => readonly string[];
  /** Returns these and the id that all repeats of the request have; hashes the body once. */
  readonly listAll: () => readonly string[];
  /** Whether an id is of a request, not of a part. */
  isRequest(id: string): boolean;
}

/**
 * Creates the ids of a request. Two requests are the same if method, host, path, query, workspace
 * and body are.
 *
 * @param callerRequest - the request
 * @param metadata - its parsed metadata
 * @param workspaceId - the workspace of its caller; undefined without one
 * @returns the ids, which are computed when they are first needed
 * @internal
 */
export function createSuspectIds(
  callerRequest: CallerRequest,
  { host, promptParts }: Pick<RequestMetadata, 'host' | 'promptParts'>,
  workspaceId: WorkspaceId | undefined,
): SuspectIds {
  const listParts = () => listSharedPartIds(promptParts);
  let all: readonly string[] | undefined;

  function computeRequestId(): string {
    const { method, target, body } = callerRequest;
    const caller = JSON.stringify([method, host, target, workspaceId ?? null]);
    const digest = createHash('sha256').update(caller).update('\n').update(body);
    return REQUEST_PREFIX + digest.digest('base64url').slice(0, ID_LENGTH);
  }

  return {
    listParts,
    // The request comes first, because only a bounded number of ids is tracked.
    listAll: () => (all ??= [computeRequestId(), ...listParts()]),
    isRequest: (id) => id.startsWith(REQUEST_PREFIX),
  };
}
