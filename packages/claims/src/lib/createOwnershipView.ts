import { computeRendezvousOrder, type Clock, type HostId } from '@endiveferry/base';

/**
 * Limits under which a host can prove that a caller-generated key is unused.
 *
 * @public
 */
export interface OwnershipLimits {
  /** Maximum difference between the wall clocks of hosts and callers. */
  readonly clockSkewMs: number;
  /** Time for which a host may act on its list after the platform confirmed it. */
  readonly viewValidityMs: number;
  /** Time for which a key may be used and its record is retained. */
  readonly keyRetentionMs: number;
}

/**
 * Why a host may not run a request as the owner of its key.
 *
 * - `not-home`: the host does not own the key, or has no list.
 * - `view-unconfirmed`: the platform has not confirmed the list recently enough.
 * - `born-before-change`: another host may still have owned the key when it was created.
 * - `born-too-long-ago`: a record of the key at this host may have expired.
 * - `born-in-the-future`: the key was created later than the tolerated clock skew explains.
 *
 * @public
 */
export type OwnershipObstacle =
  | 'not-home'
  | 'view-unconfirmed'
  | 'born-before-change'
  | 'born-too-long-ago'
  | 'born-in-the-future';

/**
 * Determines which host owns a caller-generated key, and whether this host can prove that the key
 * was not used at another host before.
 *
 * @public
 */
export interface OwnershipView {
  /** Sets the list of hosts that the platform published with a revision. */
  setHosts(hosts: readonly HostId[], revision: number): void;
  /** Records the wall-clock time, in milliseconds, up to which the platform confirms the list. */
  confirm(asOfMs: number): void;
  /** Returns the owner of a key; undefined without a list. */
  findOwner(key: string): HostId | undefined;
  /**
   * Returns the reason why this host may not run a key that was created at a wall-clock time, in
   * milliseconds; undefined when it may.
   */
  findObstacle(key: string, createdAtMs: number): OwnershipObstacle | undefined;
}

interface PastView {
  /** Undefined for skipped revisions, in which any host may have been the owner. */
  readonly hosts: readonly HostId[] | undefined;
  /** Wall-clock time at which this host received a newer list, in milliseconds. */
  readonly replacedAt: number;
}

/**
 * Creates a view without a list. A host with an older list may act on it until the confirmation of
 * that list expires, so a key whose owner has changed is run only if it was created after that.
 *
 * @param hostId - this host
 * @param clock - this host's clock; its wall clock is subject to the limit `clockSkewMs`
 * @param getLimits - returns the limits in force
 * @returns the view
 * @public
 */
export function createOwnershipView(
  hostId: HostId,
  clock: Clock,
  getLimits: () => OwnershipLimits,
): OwnershipView {
  let hosts: readonly HostId[] = [];
  let revision: number | undefined;
  let confirmedAsOf = -Infinity;
  let pastViews: PastView[] = [];

  const findOwnerIn = (view: readonly HostId[], key: string) =>
    computeRendezvousOrder(key, view)[0];

  function isCreatedBeforeChange(key: string, createdAtMs: number): boolean {
    const { clockSkewMs, viewValidityMs } = getLimits();
    return pastViews.some(
      (view) =>
        (view.hosts === undefined || findOwnerIn(view.hosts, key) !== hostId) &&
        createdAtMs <= view.replacedAt + viewValidityMs + 2 * clockSkewMs,
    );
  }

  return {
    setHosts(nextHosts, nextRevision) {
      if (nextRevision === revision) return;
      const now = clock.wallTime();
      const { keyRetentionMs } = getLimits();
      const isNext = nextRevision === (revision ?? 0) + 1;
      const isSame =
        nextHosts.length === hosts.length && nextHosts.every((id) => hosts.includes(id));
      // Lists before the first one count as skipped revisions: an earlier process of this host may
      // have run keys whose records are lost.
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
    findObstacle(key, createdAtMs) {
      const { clockSkewMs, viewValidityMs, keyRetentionMs } = getLimits();
      const now = clock.wallTime();
      if (findOwnerIn(hosts, key) !== hostId) return 'not-home';
      if (now > confirmedAsOf + viewValidityMs) return 'view-unconfirmed';
      if (isCreatedBeforeChange(key, createdAtMs)) return 'born-before-change';
      if (createdAtMs <= now - keyRetentionMs + clockSkewMs) return 'born-too-long-ago';
      // The record of a key that was created in the future could expire before the key does.
      return createdAtMs > now + clockSkewMs ? 'born-in-the-future' : undefined;
    },
  };
}
