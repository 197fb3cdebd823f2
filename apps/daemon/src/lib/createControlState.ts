import {
  listEntries,
  type AvailabilityZoneId,
  type BackendServerId,
  type HostId,
} from '@endiveferry/base';
import type { HostList, PublishedConfiguration } from '@endiveferry/directory';
import {
  checkConfiguration,
  formatConfigurationIssue,
  type Configuration,
  type ConfigurationIssue,
} from '@endiveferry/settings';
import type { Logger } from '@endiveferry/telemetry';

/** Where a revision came from. @internal */
export type RevisionSource = 'platform' | 'folder' | HostId;

/** A revision that is not in force because it is wrong. @internal */
export interface RejectedRevision {
  readonly revision: number;
  readonly faults: readonly ConfigurationIssue[];
}

/**
 * The configuration and the list of hosts that this host acts on.
 *
 * @internal
 */
export interface ControlState {
  /** Puts a revision in force, if it is newer and valid; the last good one stays otherwise. */
  applyConfiguration(published: PublishedConfiguration, source: RevisionSource): void;
  applyHostList(list: HostList, source: RevisionSource): void;
  /** Notes that the list in force was current at a wall-clock time, in milliseconds. */
  confirmHostList(revision: number, asOfMs: number): void;
  readonly configuration: () => Configuration | undefined;
  /** The document in force as it was published, for other hosts. */
  readonly published: () => PublishedConfiguration | undefined;
  readonly hostList: () => HostList | undefined;
  /** The newest revision seen, in force or rejected. */
  readonly seenRevision: () => number;
  readonly hostListRevision: () => number;
  readonly hostListAsOfMs: () => number;
  readonly rejected: () => RejectedRevision | undefined;
  /** Hosts that the system consists of now, with their availability zones. */
  readonly listHosts: () => ReadonlyMap<HostId, AvailabilityZoneId>;
  /** Backend servers that the platform's list says are leaving. */
  readonly listLeavingServers: () => ReadonlySet<BackendServerId>;
}

/**
 * Options of the control state.
 *
 * @internal
 */
export interface ControlStateOptions {
  readonly logger: Logger;
  /** Called after anything changed that others act on. */
  readonly onChange: () => void;
  /** Called when the list of hosts is known to have been current at a wall-clock time. */
  readonly onConfirm: (asOfMs: number) => void;
}

/**
 * Creates the control state of a host that knows nothing yet.
 *
 * @param options - see {@link ControlStateOptions}
 * @returns the state
 * @internal
 */
export function createControlState(options: ControlStateOptions): ControlState {
  const { logger } = options;
  let published: PublishedConfiguration | undefined;
  let configuration: Configuration | undefined;
  let rejected: RejectedRevision | undefined;
  let hostList: HostList | undefined;
  let hostListAsOfMs = 0;

  const seenRevision = () => Math.max(published?.revision ?? 0, rejected?.revision ?? 0);
  const hostListRevision = () => hostList?.revision ?? 0;

  function reject(
    revision: number,
    source: RevisionSource,
    faults: readonly ConfigurationIssue[],
  ): void {
    rejected = { revision, faults };
    logger.error('a configuration revision is invalid; the last good one stays in force', {
      revision,
      source,
      faults: faults.map(formatConfigurationIssue),
    });
  }

  function confirm(asOfMs: number): void {
    if (asOfMs <= hostListAsOfMs) return;
    hostListAsOfMs = asOfMs;
    options.onConfirm(asOfMs);
  }

  return {
    applyConfiguration(next, source) {
      if (next.revision <= seenRevision()) return;
      const checked = checkConfiguration(next.document);
      if (checked.isErr()) {
        reject(next.revision, source, checked.error);
        return;
      }
      published = next;
      configuration = checked.value;
      logger.info('a configuration revision is in force', { revision: next.revision, source });
      options.onChange();
    },
    applyHostList(list, source) {
      const asOfMs = Date.parse(list.asOf);
      // A stale reader may answer with an older list; its word counts for nothing then.
      if (list.revision < hostListRevision()) return;
      const isNewer = list.revision > hostListRevision();
      hostList = list;
      if (isNewer) {
        logger.info('a list of hosts is in force', { revision: list.revision, source });
        options.onChange();
      }
      confirm(asOfMs);
    },
    confirmHostList(revision, asOfMs) {
      if (revision === hostListRevision()) confirm(asOfMs);
    },
    configuration: () => configuration,
    published: () => published,
    hostList: () => hostList,
    seenRevision,
    hostListRevision,
    hostListAsOfMs: () => hostListAsOfMs,
    rejected: () => ((rejected?.revision ?? 0) > (published?.revision ?? 0) ? rejected : undefined),
    listHosts() {
      const configured = listEntries(configuration?.hosts ?? {});
      const listed = hostList?.hosts;
      return new Map(
        configured
          .filter(([id]) => listed === undefined || listed[id]?.state === 'live')
          .map(([id, host]) => [id, host.availabilityZone]),
      );
    },
    listLeavingServers: () =>
      new Set(
        listEntries(hostList?.backendServers ?? {})
          .filter(([, { state }]) => state === 'leaving')
          .map(([id]) => id),
      ),
  };
}
