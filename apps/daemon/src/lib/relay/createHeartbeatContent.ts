import type { FleetStability, ServerLimits } from '@endiveferry/admission';
import type {
  Backends,
  EvacuatedZones,
  FleetOptions,
  LeavingServers,
  ServerRamps,
  VersionHistory,
  WarmUps,
} from '@endiveferry/relay';
import type { CrashTracker } from '@endiveferry/routing';

import type { StageWaits } from './createStageWaits.js';

/** What hosts tell each other in heartbeats. @internal */
export interface HeartbeatSources {
  readonly waits: StageWaits;
  readonly backends: Pick<Backends, 'listPending'>;
  readonly crashes: CrashTracker;
  readonly limits: ServerLimits;
  readonly leaving: LeavingServers;
  readonly warmUps: Pick<WarmUps, 'listReports' | 'applyReports'>;
  readonly stability: Pick<FleetStability, 'listLost' | 'applyLost'>;
  readonly evacuated: Pick<EvacuatedZones, 'buildReport' | 'applyReport'>;
  readonly ramps: Pick<ServerRamps, 'listReports' | 'applyReports'>;
  readonly versions: VersionHistory;
}

/**
 * Creates what builds and applies the part of heartbeats on dispatchers, prompts and backend servers.
 *
 * @param sources - the state of this host
 * @returns the options of the fleet
 * @internal
 */
export function createHeartbeatContent({
  waits,
  backends,
  crashes,
  limits,
  leaving,
  evacuated,
  ramps,
  warmUps,
  stability,
  versions,
}: HeartbeatSources): Pick<FleetOptions, 'buildLoad' | 'onHeartbeat'> {
  return {
    buildLoad: () => ({
      waits: waits.listReported(),
      pending: backends.listPending(),
      suspects: crashes.listReports(),
      limits: limits.listReports(),
      backoffs: limits.backoffs.listReports(),
      leaving: leaving.listReports(),
      ramps: ramps.listReports(),
      versions: versions.buildReport(),
      evacuated: evacuated.buildReport(),
      warmUps: warmUps.listReports(),
      lost: stability.listLost().map(([id, ageMs]) => [id, ageMs]),
    }),
    onHeartbeat(heartbeat, from) {
      for (const reported of heartbeat.waits) waits.record(reported);
      crashes.applyReports(heartbeat.suspects, `host ${from}`);
      limits.applyReports(heartbeat.limits, `host ${from}`);
      limits.backoffs.applyReports(heartbeat.backoffs, `host ${from}`);
      leaving.applyReports(heartbeat.leaving, `host ${from}`);
      if (heartbeat.evacuated !== undefined)
        evacuated.applyReport(heartbeat.evacuated, `host ${from}`);
      ramps.applyReports(heartbeat.ramps ?? [], `host ${from}`);
      warmUps.applyReports(heartbeat.warmUps ?? [], `host ${from}`);
      stability.applyLost(heartbeat.lost ?? []);
      if (heartbeat.versions !== undefined) versions.applyReport(heartbeat.versions);
    },
  };
}
