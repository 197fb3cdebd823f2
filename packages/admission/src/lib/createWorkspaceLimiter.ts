import { createNotRunFailure, type Clock, type Failure, type WorkspaceId } from '@endiveferry/base';
import type { Workspace } from '@endiveferry/settings';
import { err, ok, type Result } from 'neverthrow';

const MILLISECONDS_PER_SECOND = 1_000;
/** Time over which unused request rate may accumulate for a burst. */
const BURST_MS = 1_000;
/** Minimum share of a fleet-wide limit for a host with demand. */
const MIN_HOST_SHARE = 0.02;

/**
 * Options of a workspace limiter.
 *
 * @public
 */
export interface WorkspaceLimiterOptions {
  readonly clock: Clock;
  readonly getLimits: (workspaceId: WorkspaceId) => Workspace['limits'];
  /** Returns this host's share of the workspace's demand on the fleet, from 0 to 1. */
  readonly getHostShare: (workspaceId: WorkspaceId) => number;
}

/**
 * Enforces the fleet-wide limits of workspaces.
 *
 * @public
 */
export interface WorkspaceLimiter {
  /** Admits one request and returns a function that ends it, or the reason for its rejection. */
  admit(workspaceId: WorkspaceId): Result<() => void, Failure>;
  /** Returns the recent rate of a workspace's requests, including rejected ones, per second. */
  getOfferedRate(workspaceId: WorkspaceId): number;
  /** Lists the workspaces that have sent requests. */
  listWorkspaces(): readonly WorkspaceId[];
}

interface WorkspaceState {
  running: number;
  tokens: number;
  refilledAt: number;
  offeredRate: number;
}

/**
 * Creates a limiter that enforces this host's share of each limit.
 *
 * @param options - see {@link WorkspaceLimiterOptions}
 * @returns the limiter
 * @public
 */
export function createWorkspaceLimiter(options: WorkspaceLimiterOptions): WorkspaceLimiter {
  const { clock, getLimits, getHostShare } = options;
  const states = new Map<WorkspaceId, WorkspaceState>();

  function getOrCreateState(workspaceId: WorkspaceId): WorkspaceState {
    let state = states.get(workspaceId);
    if (state === undefined) {
      state = { running: 0, tokens: 1, refilledAt: clock.now(), offeredRate: 0 };
      states.set(workspaceId, state);
    }
    return state;
  }

  function refill(state: WorkspaceState, ratePerSecond: number): void {
    const elapsedMs = clock.now() - state.refilledAt;
    const burst = Math.max(1, (ratePerSecond * BURST_MS) / MILLISECONDS_PER_SECOND);
    state.tokens = Math.min(
      burst,
      state.tokens + (ratePerSecond * elapsedMs) / MILLISECONDS_PER_SECOND,
    );
    state.offeredRate *= Math.exp(-elapsedMs / MILLISECONDS_PER_SECOND);
    state.refilledAt = clock.now();
  }

  return {
    admit(workspaceId) {
      const state = getOrCreateState(workspaceId);
      const limits = getLimits(workspaceId);
      const share = Math.max(MIN_HOST_SHARE, getHostShare(workspaceId));
      const rate = (limits.requestsPerSecond ?? Infinity) * share;
      refill(state, rate);
      state.offeredRate += 1;
      if (state.tokens < 1) {
        const waitMs = ((1 - state.tokens) / rate) * MILLISECONDS_PER_SECOND;
        return err(
          createNotRunFailure(
            'limit-reached',
            'request rate limit of the workspace exceeded',
            waitMs,
          ),
        );
      }
      const maxRunning = Math.max(1, Math.round((limits.concurrentRequests ?? Infinity) * share));
      if (state.running >= maxRunning) {
        const detail = 'concurrent request limit of the workspace exceeded';
        return err(createNotRunFailure('limit-reached', detail, MILLISECONDS_PER_SECOND));
      }
      if (Number.isFinite(rate)) state.tokens -= 1;
      state.running += 1;
      return ok(() => {
        state.running -= 1;
      });
    },
    getOfferedRate(workspaceId) {
      const state = states.get(workspaceId);
      if (state === undefined) return 0;
      const elapsedMs = clock.now() - state.refilledAt;
      return state.offeredRate * Math.exp(-elapsedMs / MILLISECONDS_PER_SECOND);
    },
    listWorkspaces: () => [...states.keys()],
  };
}
