import { createHmac, timingSafeEqual } from 'node:crypto';

import {
  hostIdSchema,
  processIdSchema,
  type Clock,
  type HostId,
  type ProcessId,
  type WorkspaceId,
} from '@endiveferry/base';

const PREFIX = 'k1';
const SEPARATOR = '~';
const SIGNATURE_LENGTH = 22;

/**
 * The parts of a key that a host issued.
 *
 * @public
 */
export interface IssuedKey {
  readonly hostId: HostId;
  /** The only run of a daemon that may use the key. */
  readonly processId: ProcessId;
  /** Wall-clock time of issue, in milliseconds since 1970. */
  readonly issuedAt: number;
  /** The key without its signature. */
  readonly signedPart: string;
  readonly signature: string;
}

/**
 * Reads a key that some host may have issued.
 *
 * @param key - the key
 * @returns its parts; undefined when no host issues such keys
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
 * Tells whether a key was issued with a secret, to a workspace.
 *
 * @param key - the key
 * @param secret - the secret of the process that the key names
 * @param workspaceId - the workspace that uses the key
 * @returns whether the signature fits
 * @public
 */
export function isSignedBy(key: IssuedKey, secret: string, workspaceId: WorkspaceId): boolean {
  const expected = Buffer.from(computeSignature(secret, workspaceId, key.signedPart));
  const given = Buffer.from(key.signature);
  return expected.length === given.length && timingSafeEqual(expected, given);
}

/**
 * Issues keys that only this process may use.
 *
 * @public
 */
export interface KeyIssuer {
  issue(workspaceId: WorkspaceId): string;
}

/**
 * Creates an issuer.
 *
 * @param options - who issues, and the secret that signs
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
