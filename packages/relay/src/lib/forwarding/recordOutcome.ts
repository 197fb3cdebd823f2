import { rankIdSchema, workspaceIdSchema, type Clock } from '@endiveferry/base';
import type { Logger, Metrics } from '@endiveferry/telemetry';

import type { AdmittedRequest } from './admitRequest.js';
import type { ConfigurationTracker } from '../store/createConfigurationTracker.js';
import type { RelayMetrics } from '../createRelayMetrics.js';
import type { ForwardOutcome } from './ForwardRequest.js';

/** Workspace that requests without a key are accounted to. */
const PUBLIC_WORKSPACE = workspaceIdSchema.parse('public');

/** Options of {@link recordOutcome}. @internal */
export interface RecordOutcomeOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly relayMetrics: Pick<RelayMetrics, 'recordDisconnect'>;
  readonly configurationTracker: ConfigurationTracker;
  readonly findLoopDelayMs: () => number;
}

/**
 * Records the metrics of a request and logs one line: the decision, the state it is based on, and
 * the outcome.
 *
 * @param admitted - the request
 * @param outcome - how it ended
 * @param disconnectedAt - monotonic time at which its caller left, in milliseconds
 * @param options - see {@link RecordOutcomeOptions}
 * @internal
 */
export function recordOutcome(
  admitted: AdmittedRequest,
  outcome: ForwardOutcome,
  disconnectedAt: number | undefined,
  options: RecordOutcomeOptions,
): void {
  const { clock, logger, metrics, configurationTracker } = options;
  const { metadata, route, workspace, arrivedAt } = admitted;
  if (disconnectedAt !== undefined)
    options.relayMetrics.recordDisconnect(outcome.sentAt !== undefined);
  const computeSinceArrival = (at: number | undefined) =>
    at === undefined ? undefined : Math.round(at - arrivedAt);
  const durationMs = clock.now() - arrivedAt;
  const firstEventMs = (outcome.firstEventAt ?? clock.now()) - arrivedAt;
  const { failure } = outcome;
  const isAttained =
    failure === undefined && (outcome.status ?? 0) < 400 && firstEventMs <= route.targetLatencyMs;
  metrics.recordRequest({
    pipelineId: route.pipelineId,
    rankId: rankIdSchema.parse(`rank-${admitted.rank}`),
    workspaceId: workspace?.workspaceId ?? PUBLIC_WORKSPACE,
    durationMs,
    isAttained,
    ...(failure === undefined ? {} : { failure }),
  });
  logger.info('request ended', {
    requestId: metadata.requestId,
    pipeline: route.pipelineId,
    pool: admitted.poolId,
    workspace: workspace?.workspaceId,
    rank: admitted.rank,
    version: admitted.active.configuration.version,
    confirmedAgeMs: Math.round(
      Math.min(configurationTracker.confirmedAgeMs(), Number.MAX_SAFE_INTEGER),
    ),
    status: outcome.status,
    reason: failure?.reason,
    execution: failure?.execution,
    detail: failure?.detail,
    retryAfterMs: failure?.retryAfterMs,
    notRetried: outcome.retryRefusal,
    backendServers: outcome.servers,
    resumedRequest: metadata.resumedRequestId,
    resumedAfter: metadata.lastEventId,
    sentMs: computeSinceArrival(outcome.sentAt),
    disconnectedMs: computeSinceArrival(disconnectedAt),
    loopDelayMs: Math.round(options.findLoopDelayMs()),
    firstMs: Math.round(firstEventMs),
    durationMs: Math.round(durationMs),
    targetMs: route.targetLatencyMs,
    timeoutMs: Math.round(admitted.endAt - arrivedAt),
  });
}
