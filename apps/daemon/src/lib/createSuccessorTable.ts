import type { Clock, HostId, ProcessId } from '@endiveferry/base';
import type { TakenOverProcess } from '@endiveferry/claims';
import type { Successor } from '@endiveferry/peers';

/**
 * Maps stopped processes to the hosts that took over their keys, as last reported to this host.
 *
 * @internal
 */
export interface SuccessorTable {
  /** Applies the entries of another host that have a newer generation than the local ones. */
  merge(successors: readonly Successor[]): void;
  findSuccessor(processId: ProcessId): HostId | undefined;
  /** Lists the entries to send to other hosts, including the takeovers of this host. */
  list(own: readonly TakenOverProcess[]): Successor[];
}

/**
 * Creates an empty table. Hosts pass entries on to each other, so that an entry also reaches hosts
 * without a link to the successor. Entries are removed once the keys have expired.
 *
 * @param hostId - this host
 * @param clock - time source for the expiry of entries
 * @param getRetentionMs - returns the retention of keys, in milliseconds
 * @returns the table
 * @internal
 */
export function createSuccessorTable(
  hostId: HostId,
  clock: Clock,
  getRetentionMs: () => number,
): SuccessorTable {
  const entries = new Map<ProcessId, Successor & { readonly receivedAt: number }>();

  function removeExpired(): void {
    for (const [processId, { receivedAt }] of entries) {
      if (receivedAt < clock.now() - getRetentionMs()) entries.delete(processId);
    }
  }

  function merge(successors: readonly Successor[]): void {
    for (const successor of successors) {
      const known = entries.get(successor.processId);
      if (known !== undefined && known.generation >= successor.generation) continue;
      entries.set(successor.processId, { ...successor, receivedAt: clock.now() });
    }
  }

  return {
    merge,
    findSuccessor: (processId) => entries.get(processId)?.hostId,
    list(own) {
      merge(own.map((taken) => ({ ...taken, hostId })));
      removeExpired();
      return [...entries.values()].map(({ processId, hostId: successor, generation }) => ({
        processId,
        hostId: successor,
        generation,
      }));
    },
  };
}
