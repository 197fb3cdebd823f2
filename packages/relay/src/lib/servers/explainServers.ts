import { checkBackend, type BackendExclusion, type ExclusionState } from './checkBackend.js';
import type { Backend } from './createBackends.js';
import type { ReportedLoad } from '../ports.js';

/** A backend server with the figures that the choice reads. @public */
export interface ServerExplanation {
  readonly server: string;
  readonly availabilityZone: string;
  /** Why it cannot be chosen; `null` when it can. */
  readonly exclusion: BackendExclusion | null;
  readonly running: number;
  readonly maxRunning: number;
  /** Share of recent calls that failed, from 0 to 1. */
  readonly failureShare: number;
  /** Load in its last response; `null` when that is too old. */
  readonly reportedLoad: ReportedLoad | null;
  /** Unread prompt tokens of this host's calls. */
  readonly pendingTokens: number;
  /** Time to read one prompt token, in milliseconds. */
  readonly tokenMs: number;
}

/**
 * Lists servers with the figures by which one of them is chosen.
 *
 * @param candidates - the servers
 * @param state - the state that decides whether each may be chosen
 * @returns one explanation per server
 * @internal
 */
export function explainServers(
  candidates: readonly Backend[],
  state: ExclusionState,
): readonly ServerExplanation[] {
  return candidates.map((backend) => ({
    server: backend.server.serverId,
    availabilityZone: backend.server.availabilityZone,
    exclusion: checkBackend(backend, state) ?? null,
    running: backend.running(),
    maxRunning: backend.maxRunning(),
    failureShare: backend.failureShare(),
    reportedLoad: backend.reportedLoad() ?? null,
    pendingTokens: backend.pendingTokens(),
    tokenMs: backend.tokenMs(),
  }));
}
