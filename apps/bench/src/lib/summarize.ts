import type { Execution, ExecutionLog } from './standins/createExecutionLog.js';
import type { Sample } from './runLoad.js';

/**
 * Counts of attained requests among all of a kind.
 *
 * @public
 */
export interface Attainment {
  readonly sent: number;
  readonly attained: number;
  /** Attained requests among those sent; 1 when none was sent. */
  readonly share: number;
}

/**
 * What one run measured.
 *
 * @public
 */
export interface RunSummary {
  readonly attainmentByRank: Readonly<Record<string, Attainment>>;
  readonly attainmentByWorkspace: Readonly<Record<string, Attainment>>;
  /** Failures by what callers were told. */
  readonly refusals: Readonly<Record<string, number>>;
  /** Service time at stand-ins by stage path, in milliseconds. */
  readonly costMsByStage: Readonly<Record<string, number>>;
  /** Share of the service time that went into requests that were not attained. */
  readonly wasteShare: number;
  /** Requests without any reply. */
  readonly lost: number;
  /** Calls that may not be repeated and ran more than once for one request. */
  readonly doubled: number;
  /** Requests that ran although their caller was told `not-run`. */
  readonly falseNotRun: number;
  readonly latencyMs: { readonly p50: number; readonly p99: number };
}

/** Paths of stand-ins whose calls may not be repeated. */
const UNSAFE_PATHS = new Set(['/v1/book', '/v1/invoice', '/v1/charge', '/v1/reship']);

/**
 * Counts attained requests by a label.
 *
 * @param samples - the requests
 * @param readLabel - the label of a request
 * @returns the counts of each label
 * @public
 */
export function countAttainment(
  samples: readonly Sample[],
  readLabel: (sample: Sample) => string,
): Record<string, Attainment> {
  const counts = new Map<string, { sent: number; attained: number }>();
  for (const sample of samples) {
    const label = readLabel(sample);
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

function countDoubled(executions: readonly Execution[]): number {
  const calls = executions
    .filter(({ path }) => UNSAFE_PATHS.has(path))
    .map(({ callId, idempotencyKey, path }) => idempotencyKey ?? `${callId} ${path}`);
  return Object.values(countBy(calls)).filter((count) => count > 1).length;
}

const findRequestId = ({ callId }: Execution) => callId.slice(0, callId.lastIndexOf('.'));

function sumCost(executions: readonly Execution[], attainedIds: ReadonlySet<string>) {
  const costMsByStage: Record<string, number> = {};
  let totalMs = 0;
  let wastedMs = 0;
  for (const execution of executions) {
    const durationMs = (execution.endedAt ?? execution.startedAt) - execution.startedAt;
    costMsByStage[execution.path] = (costMsByStage[execution.path] ?? 0) + durationMs;
    totalMs += durationMs;
    if (!attainedIds.has(findRequestId(execution))) wastedMs += durationMs;
  }
  return { costMsByStage, wasteShare: totalMs === 0 ? 0 : wastedMs / totalMs };
}

/**
 * Finds a quantile.
 *
 * @param values - the values, in any order
 * @param quantile - from 0 to 1
 * @returns the value; 0 without values
 * @public
 */
export function findQuantile(values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}

/**
 * Sums a run up, with what callers were told held against what stand-ins executed.
 *
 * @param samples - the requests
 * @param ledger - what was executed
 * @returns the summary
 * @public
 */
export function summarize(samples: readonly Sample[], ledger: ExecutionLog): RunSummary {
  const executions = ledger.list();
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
    ...sumCost(executions, attainedIds),
    lost: samples.filter(({ reply }) => reply === undefined).length,
    doubled: countDoubled(executions),
    falseNotRun: failed.filter(
      ({ reply }) =>
        reply?.execution === 'not-run' && ledger.countRequestExecutions(reply.requestId) > 0,
    ).length,
    latencyMs: { p50: findQuantile(latencies, 0.5), p99: findQuantile(latencies, 0.99) },
  };
}
