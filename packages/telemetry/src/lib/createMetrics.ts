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

/** Why service time was spent on work whose result nobody got. @public */
export type WasteCause = 'retry' | 'hedge' | 'cancelled' | 'late' | 'failed';

/**
 * How one request ended.
 *
 * @public
 */
export interface RequestOutcome {
  readonly pipelineId: PipelineId;
  readonly rankId: RankId;
  readonly workspaceId: WorkspaceId;
  readonly durationMs: number;
  /** Whether the whole answer came within the deadline. */
  readonly isAttained: boolean;
  readonly failure?: { readonly reason: FailureReason; readonly execution: Execution };
}

/**
 * The service that one call to a backend server took.
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
  /** Tokens generated; 0 for other kinds of work. */
  readonly tokens: number;
  /** Present when nobody got the result. */
  readonly waste?: WasteCause;
}

/**
 * Everything a host counts.
 *
 * @public
 */
export interface Metrics {
  recordRequest(outcome: RequestOutcome): void;
  recordStage(cost: StageCost): void;
  /** Records the time from a request's arrival to its first token, in milliseconds. */
  recordFirstToken(rankId: RankId, durationMs: number): void;
  /** Registers a value that is read whenever metrics are. */
  registerGauge(name: string, help: string, read: () => readonly GaugeValue[]): void;
  /** Formats everything as Prometheus text. */
  format(): Promise<string>;
}

/**
 * One value of a gauge.
 *
 * @public
 */
export interface GaugeValue {
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/** Histograms by one label, published as quantiles. */
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
          const seconds = histogram.findQuantile(quantile) / MILLISECONDS_PER_SECOND;
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
 * Creates a host's metrics.
 *
 * @returns empty metrics
 * @public
 */
export function createMetrics(): Metrics {
  const registry = new Registry();
  const registers = [registry];
  const createFamily = (name: string, help: string, label: string) =>
    createHistogramFamily(registry, name, help, label);
  const recordRank = createFamily(
    'endiveferry_request_seconds_by_rank',
    'time from arrival to the whole answer',
    'rank',
  );
  const recordWorkspace = createFamily(
    'endiveferry_request_seconds_by_workspace',
    'time from arrival to the whole answer',
    'workspace',
  );
  const recordFirstToken = createFamily(
    'endiveferry_first_token_seconds',
    'time from arrival to the first token',
    'rank',
  );
  const recordStageTime = createFamily(
    'endiveferry_stage_seconds',
    'service time of one call',
    'stage',
  );
  const recordPoolTime = createFamily(
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
        recordRank(rankId, durationMs);
        recordWorkspace(workspaceId, durationMs);
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
      recordStageTime(stage, serviceMs);
      recordPoolTime(call.poolId, serviceMs);
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
    format: () => registry.metrics(),
  };
}
