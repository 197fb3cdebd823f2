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

/** Source of a revision; a host id stands for a peer. @internal */
export type RevisionSource = 'platform' | 'folder' | HostId;

/** A revision that is not in force because it is invalid. @internal */
export interface RejectedRevision {
  readonly revision: number;
  readonly issues: readonly ConfigurationIssue[];
}

/**
 * The configuration and the host list in force on this host.
 *
 * @internal
 */
export interface ControlState {
  /** Applies a newer and valid revision; otherwise the last valid one stays in force. */
  applyConfiguration(published: PublishedConfiguration, source: RevisionSource): void;
  applyHostList(list: HostList, source: RevisionSource): void;
  /** Records that the host list in force was current at a wall-clock time, in milliseconds. */
  confirmHostList(revision: number, asOfMs: number): void;
  readonly configuration: () => Configuration | undefined;
  /** The document in force as it was published, to be sent to peers. */
  readonly published: () => PublishedConfiguration | undefined;
  readonly hostList: () => HostList | undefined;
  /** The newest revision received, in force or rejected. */
  readonly seenRevision: () => number;
  readonly hostListRevision: () => number;
  readonly hostListAsOfMs: () => number;
  readonly rejected: () => RejectedRevision | undefined;
  /** Current hosts of the fleet, with their availability zones. */
  readonly listHosts: () => ReadonlyMap<HostId, AvailabilityZoneId>;
  /** Backend servers that the host list marks as leaving. */
  readonly listLeavingServers: () => ReadonlySet<BackendServerId>;
}

/**
 * Options of the control state.
 *
 * @internal
 */
export interface ControlStateOptions {
  readonly logger: Logger;
  /** Called after the configuration or the host list in force has changed. */
  readonly onChange: () => void;
  /** Called when a later wall-clock time at which the host list was current becomes known. */
  readonly onConfirm: (asOfMs: number) => void;
}

/**
 * Creates an empty control state, with no configuration or host list in force.
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
    issues: readonly ConfigurationIssue[],
  ): void {
    rejected = { revision, issues };
    logger.error('configuration revision is invalid; the last valid one stays in force', {
      revision,
      source,
      faults: issues.map(formatConfigurationIssue),
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
      logger.info('configuration revision applied', { revision: next.revision, source });
      options.onChange();
    },
    applyHostList(list, source) {
      const asOfMs = Date.parse(list.asOf);
      // A stale source may return an older list, which neither changes nor confirms anything.
      if (list.revision < hostListRevision()) return;
      const isNewer = list.revision > hostListRevision();
      hostList = list;
      if (isNewer) {
        logger.info('host list revision applied', { revision: list.revision, source });
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
