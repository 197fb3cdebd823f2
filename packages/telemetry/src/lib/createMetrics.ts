import type {
  Execution,
  FailureReason,
  PipelineId,
  PoolId,
  RankId,
  StageId,
  WorkspaceId,
} from '@endiveferry/base';
import { Counter, Gauge, Registry } from 'prom-client';

import { createLatencyHistogram, type LatencyHistogram } from './createLatencyHistogram.js';

const MILLISECONDS_PER_SECOND = 1_000;
const PUBLISHED_QUANTILES = [0.5, 0.9, 0.95, 0.99] as const;

/** Reason why service time was spent on a result that was not delivered. @public */
export type WasteCause = 'retry' | 'hedge' | 'cancelled' | 'late' | 'failed';

/**
 * Outcome of one request.
 *
 * @public
 */
export interface RequestOutcome {
  readonly pipelineId: PipelineId;
  readonly rankId: RankId;
  readonly workspaceId: WorkspaceId;
  readonly durationMs: number;
  /** Whether the complete response was sent within the deadline. */
  readonly isAttained: boolean;
  readonly failure?: { readonly reason: FailureReason; readonly execution: Execution };
}

/**
 * Service time and tokens of one call to a backend server.
 *
 * @public
 */
export interface StageCost {
  readonly pipelineId: PipelineId;
  readonly stageId: StageId;
  readonly poolId: PoolId;
  readonly rankId: RankId;
  readonly workspaceId: WorkspaceId;
  readonly serviceMs: number;
  /** Number of tokens generated; 0 for work other than generation. */
  readonly tokens: number;
  /** Present when the result was not delivered. */
  readonly waste?: WasteCause;
}

/**
 * Metrics of a host.
 *
 * @public
 */
export interface Metrics {
  recordRequest(outcome: RequestOutcome): void;
  recordStage(cost: StageCost): void;
  /** Records the time from a request's arrival to its first token, in milliseconds. */
  recordFirstToken(rankId: RankId, durationMs: number): void;
  /** Registers a gauge whose values are read at each scrape. */
  registerGauge(name: string, help: string, read: () => readonly GaugeValue[]): void;
  /** Registers a counter and returns the function that increases it, by 1 by default. */
  registerCounter<Label extends string>(
    name: string,
    help: string,
    labels: readonly Label[],
  ): (values: Readonly<Record<Label, string>>, count?: number) => void;
  /** Formats all metrics in the Prometheus text format. */
  format(): Promise<string>;
}

/**
 * Value of a gauge for one set of labels.
 *
 * @public
 */
export interface GaugeValue {
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/** Creates one histogram per value of a label, and a gauge that publishes their quantiles. */
function createHistogramFamily(registry: Registry, name: string, help: string, label: string) {
  const histograms = new Map<string, LatencyHistogram>();
  new Gauge({
    name,
    help,
    labelNames: [label, 'quantile'],
    registers: [registry],
    collect() {
      for (const [key, histogram] of histograms) {
        for (const quantile of PUBLISHED_QUANTILES) {
          const seconds = histogram.getQuantile(quantile) / MILLISECONDS_PER_SECOND;
          this.set({ [label]: key, quantile: String(quantile) }, seconds);
        }
      }
    },
  });
  return (key: string, durationMs: number) => {
    const histogram = histograms.get(key) ?? createLatencyHistogram();
    histograms.set(key, histogram);
    histogram.record(durationMs);
  };
}

/**
 * Creates the metrics of a host in a new registry.
 *
 * @returns the metrics, all empty
 * @public
 */
export function createMetrics(): Metrics {
  const registry = new Registry();
  const registers = [registry];
  const createFamily = (name: string, help: string, label: string) =>
    createHistogramFamily(registry, name, help, label);
  const recordRankLatency = createFamily(
    'endiveferry_request_seconds_by_rank',
    'time from arrival to the whole answer',
    'rank',
  );
  const recordWorkspaceLatency = createFamily(
    'endiveferry_request_seconds_by_workspace',
    'time from arrival to the whole answer',
    'workspace',
  );
  const recordFirstToken = createFamily(
    'endiveferry_first_token_seconds',
    'time from arrival to the first token',
    'rank',
  );
  const recordStageLatency = createFamily(
    'endiveferry_stage_seconds',
    'service time of one call',
    'stage',
  );
  const recordPoolLatency = createFamily(
    'endiveferry_pool_seconds',
    'service time of one call',
    'pool',
  );
  const requests = new Counter({
    name: 'endiveferry_requests_total',
    help: 'requests ended, and whether within their deadline',
    labelNames: ['pipeline', 'rank', 'workspace', 'attained'],
    registers,
  });
  const failures = new Counter({
    name: 'endiveferry_failures_total',
    help: 'requests refused or failed, by reason and by whether they may have run',
    labelNames: ['reason', 'execution', 'rank'],
    registers,
  });
  const cost = new Counter({
    name: 'endiveferry_stage_cost_seconds_total',
    help: 'service time spent on backend servers',
    labelNames: ['pipeline', 'stage', 'rank', 'workspace'],
    registers,
  });
  const tokens = new Counter({
    name: 'endiveferry_tokens_total',
    help: 'tokens generated',
    labelNames: ['stage', 'rank', 'workspace'],
    registers,
  });
  const waste = new Counter({
    name: 'endiveferry_wasted_seconds_total',
    help: 'service time spent on results that nobody got',
    labelNames: ['stage', 'rank', 'cause'],
    registers,
  });

  return {
    recordRequest({ pipelineId, rankId, workspaceId, durationMs, isAttained, failure }) {
      requests.inc({
        pipeline: pipelineId,
        rank: rankId,
        workspace: workspaceId,
        attained: String(isAttained),
      });
      if (failure !== undefined) {
        const { reason, execution } = failure;
        failures.inc({ reason, execution, rank: rankId });
      } else {
        recordRankLatency(rankId, durationMs);
        recordWorkspaceLatency(workspaceId, durationMs);
      }
    },
    recordStage(call) {
      const { pipelineId, rankId, workspaceId, serviceMs } = call;
      const stage = `${pipelineId}/${call.stageId}`;
      const seconds = serviceMs / MILLISECONDS_PER_SECOND;
      cost.inc({ pipeline: pipelineId, stage, rank: rankId, workspace: workspaceId }, seconds);
      if (call.tokens > 0) {
        tokens.inc({ stage, rank: rankId, workspace: workspaceId }, call.tokens);
      }
      if (call.waste !== undefined) {
        waste.inc({ stage, rank: rankId, cause: call.waste }, seconds);
        return;
      }
      recordStageLatency(stage, serviceMs);
      recordPoolLatency(call.poolId, serviceMs);
    },
    recordFirstToken: (rankId, durationMs) => recordFirstToken(rankId, durationMs),
    registerGauge(name, help, read) {
      const gauge = new Gauge({
        name,
        help,
        labelNames: ['pool', 'rank', 'workspace', 'backend_server', 'peer'],
        registers,
        collect() {
          gauge.reset();
          for (const { labels, value } of read()) this.set({ ...labels }, value);
        },
      });
    },
    registerCounter(name, help, labels) {
      const counter = new Counter({ name, help, labelNames: [...labels], registers });
      return (values, count = 1) => counter.inc({ ...values }, count);
    },
    format: () => registry.metrics(),
  };
}
