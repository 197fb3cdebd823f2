import type { Clock, PoolId, SoftwareVersion } from '@endiveferry/base';

import type { ListedServer } from '../RelayConfiguration.js';
import type { StreamOrigin, VersionReport } from '../StreamOrigin.js';

/** Time for which a stream can be taken up, unless callers send longer deadlines, in milliseconds. */
const MIN_STREAM_LIFETIME_MS = 20_000;
const MAX_STREAM_LIFETIME_MS = 120_000;
/** Time for which a host with an older list may still send requests to a version, in milliseconds. */
const LIST_DELAY_MS = 5_000;
/** Time after which the list may lack versions that other hosts know, in milliseconds. */
const MAX_CONTACT_AGE_MS = 4_000;
const MAX_REPORTED_VERSIONS = 32;

/**
 * Tracks which software versions may have begun the streams that callers can still take up.
 *
 * @public
 */
export interface VersionHistory {
  /** Applies a new list of servers. */
  update(servers: readonly ListedServer[]): void;
  /** Records versions that were listed before, up to now; they are known for `knownMs`. */
  recordPast(origins: readonly StreamOrigin[], knownMs: number): void;
  /** Applies what another host reports. */
  applyReport(report: VersionReport): void;
  readonly buildReport: () => VersionReport;
  /** Records that the store or another host has confirmed the list of servers. */
  recordContact(): void;
  /** Records the time that the caller of a new stream waits, in milliseconds. */
  recordDeadline(remainingMs: number): void;
  /** Returns the time for which a stream can be taken up, in milliseconds. */
  readonly lifetimeMs: () => number;
  /** Whether only one version can have begun any stream in a pool, as far as this host knows. */
  isCertain(poolId: PoolId): boolean;
  /** Returns the only version that can have begun a stream in a pool; undefined if unknown. */
  findOnlyOrigin(poolId: PoolId): StreamOrigin | undefined;
}

/**
 * Creates a history without versions.
 *
 * @param clock - clock that ages the versions
 * @returns the history
 * @public
 */
export function createVersionHistory(clock: Clock): VersionHistory {
  /** When each version was last listed, by pool; `Infinity` while it is. */
  const lastListedAt = new Map<PoolId, Map<SoftwareVersion | undefined, number>>();
  let knownSince = Infinity;
  let contactAt = -Infinity;
  let longestDeadlineMs = MIN_STREAM_LIFETIME_MS;

  const computeAgeMs = (listedAt: number) => Math.max(0, clock.now() - listedAt);

  function recordListed({ poolId, softwareVersion }: StreamOrigin, at: number): void {
    const versions = lastListedAt.get(poolId) ?? new Map<SoftwareVersion | undefined, number>();
    lastListedAt.set(poolId, versions);
    versions.set(softwareVersion, Math.max(at, versions.get(softwareVersion) ?? -Infinity));
  }

  function removeExpired(): void {
    for (const [poolId, versions] of lastListedAt) {
      for (const [version, listedAt] of versions) {
        if (computeAgeMs(listedAt) > longestDeadlineMs + LIST_DELAY_MS) versions.delete(version);
      }
      if (versions.size === 0) lastListedAt.delete(poolId);
    }
  }

  function listVersions(poolId: PoolId): readonly (SoftwareVersion | undefined)[] {
    removeExpired();
    return [...(lastListedAt.get(poolId)?.keys() ?? [])];
  }

  const isKnownLongEnough = () => clock.now() - knownSince >= longestDeadlineMs;
  const isCertain = (poolId: PoolId) => isKnownLongEnough() && listVersions(poolId).length === 1;

  return {
    update(servers) {
      if (knownSince === Infinity) knownSince = clock.now();
      for (const versions of lastListedAt.values()) {
        for (const [version, listedAt] of versions)
          if (listedAt === Infinity) versions.set(version, clock.now());
      }
      for (const server of servers) recordListed(server, Infinity);
      contactAt = clock.now();
    },
    recordPast(origins, knownMs) {
      for (const origin of origins) recordListed(origin, clock.now());
      knownSince = Math.min(knownSince, clock.now() - knownMs);
    },
    applyReport({ knownMs, versions }) {
      for (const { ageMs, ...origin } of versions) recordListed(origin, clock.now() - ageMs);
      contactAt = clock.now();
      // Without a list of its own this host doesn't know the versions that the report leaves out.
      if (knownSince !== Infinity) knownSince = Math.min(knownSince, clock.now() - knownMs);
    },
    buildReport() {
      removeExpired();
      const versions = [...lastListedAt].flatMap(([poolId, byVersion]) =>
        byVersion.size < 2
          ? []
          : [...byVersion].map(([softwareVersion, listedAt]) => ({
              poolId,
              softwareVersion,
              ageMs: computeAgeMs(listedAt),
            })),
      );
      // A report that leaves versions out must not claim to know them all.
      const isComplete = versions.length <= MAX_REPORTED_VERSIONS;
      const knownMs = isComplete && knownSince !== Infinity ? clock.now() - knownSince : 0;
      return { knownMs, versions: versions.slice(0, MAX_REPORTED_VERSIONS) };
    },
    recordContact() {
      contactAt = clock.now();
    },
    recordDeadline(remainingMs) {
      const bounded = Math.min(MAX_STREAM_LIFETIME_MS, remainingMs);
      longestDeadlineMs = Math.max(longestDeadlineMs, bounded);
    },
    lifetimeMs: () => longestDeadlineMs,
    isCertain,
    findOnlyOrigin(poolId) {
      if (!isCertain(poolId) || clock.now() - contactAt > MAX_CONTACT_AGE_MS) return undefined;
      const [softwareVersion] = listVersions(poolId);
      return { poolId, softwareVersion };
    },
  };
}
