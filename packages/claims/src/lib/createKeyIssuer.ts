import { createHmac, timingSafeEqual } from 'node:crypto';

import {
  hostIdSchema,
  processIdSchema,
  type Clock,
  type HostId,
  type ProcessId,
  type WorkspaceId,
} from '@endiveferry/base';

/** First field of every issued key; identifies its format. */
const PREFIX = 'k1';
/** Separates the fields: prefix, host, process, time of issue, counter and signature. */
const SEPARATOR = '~';
/** Length of a signature, in base64url characters of 6 bits each. */
const SIGNATURE_LENGTH = 22;

/**
 * Fields of an issued key.
 *
 * @public
 */
export interface IssuedKey {
  readonly hostId: HostId;
  /** The process that issued the key; only it or its successor may run the key. */
  readonly processId: ProcessId;
  /** Wall-clock time of issue, in milliseconds since 1970. */
  readonly issuedAt: number;
  /** The key without its signature. */
  readonly signedPart: string;
  readonly signature: string;
}

/**
 * Parses a key in the format of issued keys, without verifying its signature.
 *
 * @param key - the key
 * @returns its fields; undefined when the key does not have the format
 * @public
 */
export function parseIssuedKey(key: string): IssuedKey | undefined {
  const parts = key.split(SEPARATOR);
  const [prefix, host, process, issuedAt, , signature] = parts;
  const hostId = hostIdSchema.safeParse(host);
  const processId = processIdSchema.safeParse(process);
  if (parts.length !== 6 || prefix !== PREFIX || !hostId.success || !processId.success) {
    return undefined;
  }
  return {
    hostId: hostId.data,
    processId: processId.data,
    issuedAt: Number.parseInt(issuedAt ?? '', 36),
    signedPart: parts.slice(0, -1).join(SEPARATOR),
    signature: signature ?? '',
  };
}

function computeSignature(secret: string, workspaceId: WorkspaceId, signedPart: string): string {
  return createHmac('sha256', secret)
    .update(`${workspaceId}\u0000${signedPart}`)
    .digest('base64url')
    .slice(0, SIGNATURE_LENGTH);
}

/**
 * Checks whether a key was signed with a secret for a workspace.
 *
 * @param key - the key
 * @param secret - the secret of the process that issued the key
 * @param workspaceId - the workspace that uses the key
 * @returns whether the signature is valid
 * @public
 */
export function isSignedBy(key: IssuedKey, secret: string, workspaceId: WorkspaceId): boolean {
  const expected = Buffer.from(computeSignature(secret, workspaceId, key.signedPart));
  const actual = Buffer.from(key.signature);
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}

/**
 * Issues idempotency keys that belong to this process.
 *
 * @public
 */
export interface KeyIssuer {
  issue(workspaceId: WorkspaceId): string;
}

/**
 * Creates a key issuer.
 *
 * @param options - the issuing process, its clock and its signing secret
 * @returns the issuer
 * @public
 */
export function createKeyIssuer(options: {
  readonly hostId: HostId;
  readonly processId: ProcessId;
  readonly secret: string;
  readonly clock: Clock;
}): KeyIssuer {
  let counter = 0;
  return {
    issue(workspaceId) {
      counter += 1;
      const time = Math.floor(options.clock.wallTime()).toString(36);
      const signedPart = [
        PREFIX,
        options.hostId,
        options.processId,
        time,
        counter.toString(36),
      ].join(SEPARATOR);
      const signature = computeSignature(options.secret, workspaceId, signedPart);
      return `${signedPart}${SEPARATOR}${signature}`;
    },
  };
}
