import type { Clock, HostId, Random, Supervisor } from '@endiveferry/base';
import { startDirectoryClient } from '@endiveferry/directory';
import {
  checkConfiguration,
  formatConfigurationIssue,
  readConfigurationFolder,
  type ConfigurationIssue,
  type ProcessSettings,
} from '@endiveferry/settings';
import type { Logger } from '@endiveferry/telemetry';

import type { ControlState } from './createControlState.js';

/**
 * Source of the configuration: the platform or a local folder.
 *
 * @internal
 */
export interface ConfigurationSource {
  /** Reloads a local folder. Does nothing for the platform, which is watched continuously. */
  reload(): Promise<void>;
}

/**
 * Options of a configuration source.
 *
 * @internal
 */
export interface ConfigurationSourceOptions {
  readonly platform: ProcessSettings['platform'];
  readonly hostId: HostId;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
  readonly control: ControlState;
}

async function loadFolder(
  folder: string,
  { control, logger }: ConfigurationSourceOptions,
): Promise<void> {
  const logIssues = (issues: readonly ConfigurationIssue[]) =>
    logger.error('configuration folder is invalid', {
      faults: issues.map(formatConfigurationIssue),
    });
  const merged = await readConfigurationFolder(folder);
  if (merged.isErr()) {
    logIssues(merged.error);
    return;
  }
  const { document, files } = merged.value;
  const checked = checkConfiguration(document, files);
  if (checked.isErr()) {
    logIssues(checked.error);
    return;
  }
  const revision = control.seenRevision() + 1;
  control.applyConfiguration({ revision, document }, 'folder');
}

/**
 * Starts watching the platform or, if the settings name one, reads a local folder instead.
 *
 * @param options - see {@link ConfigurationSourceOptions}
 * @returns the source
 * @internal
 */
export async function startConfigurationSource(
  options: ConfigurationSourceOptions,
): Promise<ConfigurationSource> {
  const { platform, control } = options;
  if ('folder' in platform) {
    const reload = () => loadFolder(platform.folder, options);
    await reload();
    return { reload };
  }
  startDirectoryClient({
    ...options,
    url: platform.url,
    listener: {
      onConfiguration: (published) => control.applyConfiguration(published, 'platform'),
      onHostList: (list) => control.applyHostList(list, 'platform'),
    },
    getConfigurationRevision: control.seenRevision,
    getHostListRevision: control.hostListRevision,
  });
  return { reload: () => Promise.resolve() };
}
