import type { Clock, HostId, ProcessId } from '@endiveferry/base';
import type { TakenOver } from '@endiveferry/claims';
import type { Successor } from '@endiveferry/peers';

/**
 * Who answers for the keys of processes that stopped, as far as this host has heard.
 *
 * @internal
 */
export interface SuccessorTable {
  /** Takes over what another host tells, where it is newer. */
  merge(successors: readonly Successor[]): void;
  findSuccessor(processId: ProcessId): HostId | undefined;
  /** Lists what to pass on, this host's own included. */
  list(own: readonly TakenOver[]): Successor[];
}

/**
 * Creates an empty table. Entries are passed on from host to host, so that they reach those that are
 * not linked to the successor, and are forgotten when the keys have expired.
 *
 * @param hostId - this host
 * @param clock - tells when entries expire
 * @param findRetentionMs - how long keys can be used, in milliseconds
 * @returns the table
 * @internal
 */
export function createSuccessorTable(
  hostId: HostId,
  clock: Clock,
  findRetentionMs: () => number,
): SuccessorTable {
  const entries = new Map<ProcessId, Successor & { readonly receivedAt: number }>();

  function removeExpired(): void {
    for (const [processId, { receivedAt }] of entries) {
      if (receivedAt < clock.now() - findRetentionMs()) entries.delete(processId);
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
