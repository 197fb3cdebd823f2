import { computeRendezvousOrder, type Clock, type HostId } from '@endiveferry/base';

/**
 * What a host needs to know to run a key that a caller made up.
 *
 * @public
 */
export interface OwnershipLimits {
  readonly clockSkewMs: number;
  readonly viewValidityMs: number;
  readonly keyRetentionMs: number;
}

/** Why a host may not run a key as its home. @public */
export type OwnershipObstacle =
  | 'not-home'
  | 'view-unconfirmed'
  | 'born-before-change'
  | 'born-too-long-ago'
  | 'born-in-the-future';

/**
 * This host's view of which host is the home of which key, and of what it can prove.
 *
 * @public
 */
export interface OwnershipView {
  /** Takes over the list of hosts that the platform published under a revision. */
  setHosts(hosts: readonly HostId[], revision: number): void;
  /** Notes up to when, in wall-clock milliseconds, the platform vouches for the list. */
  confirm(asOfMs: number): void;
  /** The home of a key; undefined without a list. */
  findOwner(key: string): HostId | undefined;
  /** Looks for a reason against running a key that was born at a wall-clock time. */
  findObstacle(key: string, bornAtMs: number): OwnershipObstacle | undefined;
}

interface PastView {
  /** Undefined where revisions were skipped: anyone may have been home under those. */
  readonly hosts: readonly HostId[] | undefined;
  /** Wall-clock time from which on this host knew a newer list. */
  readonly replacedAt: number;
}

/**
 * Creates a view without a list. Whoever holds an older list may act on it until that list's
 * confirmation has expired, so a key whose home has changed is run only if it was born after that.
 *
 * @param hostId - this host
 * @param clock - its clocks; wall-clock times of hosts and callers differ by `clockSkewMs` at most
 * @param findLimits - the limits in force
 * @returns the view
 * @public
 */
export function createOwnershipView(
  hostId: HostId,
  clock: Clock,
  findLimits: () => OwnershipLimits,
): OwnershipView {
  let hosts: readonly HostId[] = [];
  let revision: number | undefined;
  let confirmedAsOf = -Infinity;
  let pastViews: PastView[] = [];

  const findOwnerIn = (view: readonly HostId[], key: string) =>
    computeRendezvousOrder(key, view)[0];

  function isBornBeforeChange(key: string, bornAtMs: number): boolean {
    const { clockSkewMs, viewValidityMs } = findLimits();
    return pastViews.some(
      (view) =>
        (view.hosts === undefined || findOwnerIn(view.hosts, key) !== hostId) &&
        bornAtMs <= view.replacedAt + viewValidityMs + 2 * clockSkewMs,
    );
  }

  return {
    setHosts(nextHosts, nextRevision) {
      if (nextRevision === revision) return;
      const now = clock.wallTime();
      const { keyRetentionMs } = findLimits();
      const isNext = nextRevision === (revision ?? 0) + 1;
      const isSame =
        nextHosts.length === hosts.length && nextHosts.every((id) => hosts.includes(id));
      // What came before a first list, records of an earlier process included, is as unknown as
      // what was skipped.
      const isFollowing = revision !== undefined && isNext;
      if (!isFollowing) pastViews.push({ hosts: undefined, replacedAt: now });
      else if (!isSame) pastViews.push({ hosts, replacedAt: now });
      revision = nextRevision;
      pastViews = pastViews.filter((view) => view.replacedAt > now - 2 * keyRetentionMs);
      hosts = [...nextHosts];
    },
    confirm(asOfMs) {
      confirmedAsOf = Math.max(confirmedAsOf, asOfMs);
    },
    findOwner: (key) => findOwnerIn(hosts, key),
    findObstacle(key, bornAtMs) {
      const { clockSkewMs, viewValidityMs, keyRetentionMs } = findLimits();
      const now = clock.wallTime();
      if (findOwnerIn(hosts, key) !== hostId) return 'not-home';
      if (now > confirmedAsOf + viewValidityMs) return 'view-unconfirmed';
      if (isBornBeforeChange(key, bornAtMs)) return 'born-before-change';
      if (bornAtMs <= now - keyRetentionMs + clockSkewMs) return 'born-too-long-ago';
      // Such a key could outlive its own record.
      return bornAtMs > now + clockSkewMs ? 'born-in-the-future' : undefined;
    },
  };
}
