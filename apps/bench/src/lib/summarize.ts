import type { Execution, ExecutionLog } from './standins/createExecutionLog.js';
import type { Sample } from './runLoad.js';

/**
 * Number of requests that were sent, and of those that were attained.
 *
 * @public
 */
export interface Attainment {
  readonly sent: number;
  readonly attained: number;
  /** Share of sent requests that were attained. */
  readonly share: number;
}

/**
 * Figures measured in one run.
 *
 * @public
 */
export interface RunSummary {
  readonly attainmentByRank: Readonly<Record<string, Attainment>>;
  readonly attainmentByWorkspace: Readonly<Record<string, Attainment>>;
  /** Number of failed requests by title and execution verdict in the response. */
  readonly refusals: Readonly<Record<string, number>>;
  /** Service time at the stand-ins by request path, in milliseconds. */
  readonly costMsByStage: Readonly<Record<string, number>>;
  /** Share of the service time spent on requests that were not attained. */
  readonly wasteShare: number;
  /** Number of requests without a response. */
  readonly lost: number;
  /** Number of non-idempotent calls, by idempotency key or call id, that ran more than once. */
  readonly doubled: number;
  /** Number of requests that were executed although the response reported `not-run`. */
  readonly falseNotRun: number;
  /** Quantiles of the latency of attained requests. */
  readonly latencyMs: { readonly p50: number; readonly p99: number };
}

/** Paths of stand-ins whose calls are not idempotent. */
const NON_IDEMPOTENT_PATHS = new Set(['/v1/book', '/v1/invoice', '/v1/charge', '/v1/reship']);

/**
 * Counts sent and attained requests by label.
 *
 * @param samples - the requests
 * @param getLabel - returns the label of a request
 * @returns the counts of each label
 * @public
 */
export function countAttainment(
  samples: readonly Sample[],
  getLabel: (sample: Sample) => string,
): Record<string, Attainment> {
  const counts = new Map<string, { sent: number; attained: number }>();
  for (const sample of samples) {
    const label = getLabel(sample);
    const count = counts.get(label) ?? { sent: 0, attained: 0 };
    counts.set(label, count);
    count.sent += 1;
    count.attained += Number(sample.isAttained);
  }
  return Object.fromEntries(
    [...counts].map(([label, { sent, attained }]) => [
      label,
      { sent, attained, share: attained / sent },
    ]),
  );
}

function countBy(labels: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const label of labels) counts[label] = (counts[label] ?? 0) + 1;
  return counts;
}

function countDuplicateCalls(executions: readonly Execution[]): number {
  const calls = executions
    .filter(({ path }) => NON_IDEMPOTENT_PATHS.has(path))
    .map(({ callId, idempotencyKey, path }) => idempotencyKey ?? `${callId} ${path}`);
  return Object.values(countBy(calls)).filter((count) => count > 1).length;
}

const parseRequestId = ({ callId }: Execution) => callId.slice(0, callId.lastIndexOf('.'));

function sumServiceTime(executions: readonly Execution[], attainedIds: ReadonlySet<string>) {
  const costMsByStage: Record<string, number> = {};
  let totalMs = 0;
  let wastedMs = 0;
  for (const execution of executions) {
    const durationMs = (execution.endedAt ?? execution.startedAt) - execution.startedAt;
    costMsByStage[execution.path] = (costMsByStage[execution.path] ?? 0) + durationMs;
    totalMs += durationMs;
    if (!attainedIds.has(parseRequestId(execution))) wastedMs += durationMs;
  }
  return { costMsByStage, wasteShare: totalMs === 0 ? 0 : wastedMs / totalMs };
}

/**
 * Computes a quantile.
 *
 * @param values - the values, in any order
 * @param quantile - the quantile, from 0 to 1
 * @returns the value at the quantile; 0 for an empty list
 * @public
 */
export function computeQuantile(values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}

/**
 * Summarizes a run and checks the responses against the executions at the stand-ins.
 *
 * @param samples - the requests
 * @param executionLog - the executions at the stand-ins
 * @returns the summary
 * @public
 */
export function summarize(samples: readonly Sample[], executionLog: ExecutionLog): RunSummary {
  const executions = executionLog.list();
  const attained = samples.filter(({ isAttained }) => isAttained);
  const attainedIds = new Set(attained.map(({ reply }) => reply?.requestId ?? ''));
  const failed = samples.filter(({ reply }) => reply !== undefined && reply.status !== 200);
  const latencies = attained.map(({ latencyMs }) => latencyMs);
  return {
    attainmentByRank: countAttainment(samples, ({ flow }) => flow.rank),
    attainmentByWorkspace: countAttainment(samples, ({ flow }) => flow.workspace),
    refusals: countBy(
      failed.map(({ reply }) => `${reply?.title ?? 'unknown'} ${reply?.execution ?? ''}`.trim()),
    ),
    ...sumServiceTime(executions, attainedIds),
    lost: samples.filter(({ reply }) => reply === undefined).length,
    doubled: countDuplicateCalls(executions),
    falseNotRun: failed.filter(
      ({ reply }) =>
        reply?.execution === 'not-run' && executionLog.countRequestExecutions(reply.requestId) > 0,
    ).length,
    latencyMs: { p50: computeQuantile(latencies, 0.5), p99: computeQuantile(latencies, 0.99) },
  };
}
