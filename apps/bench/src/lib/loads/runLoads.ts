import { replayStageLoad, type KindResult } from './replayStageLoad.js';
import { crateLoad, millLoad, scaleLoad, type StageLoad } from './StageLoad.js';

const SEEDS = [1, 2, 3];
const DEFAULT_FACTORS = [1, 1.4, 1.8];
const loads: Readonly<Record<string, StageLoad>> = { crate: crateLoad, mill: millLoad };

function computeQuantile(values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}

function formatKind({
  name,
  sent,
  onTarget,
  late,
  failed,
  credit,
  maxCredit,
  firstEventLatenciesMs,
}: KindResult) {
  const p50Ms = Math.round(computeQuantile(firstEventLatenciesMs, 0.5));
  const p99Ms = Math.round(computeQuantile(firstEventLatenciesMs, 0.99));
  return `  ${name}: sent ${sent}, on target ${onTarget}, late ${late}, failed ${failed}, credit ${(credit / maxCredit).toFixed(3)}, first event p50 ${p50Ms} ms, p99 ${p99Ms} ms`;
}

/**
 * Replays loads, and prints the mean credit over all seeds and the outcomes by kind of request for
 * the first seed: `loads [NAME] [FACTOR]`.
 *
 * @param args - name of a load and factor on its request rates; all loads and the default factors
 * when left out
 */
export async function runLoads(args: readonly string[]): Promise<void> {
  const [name, factor] = args;
  const selected = name === undefined ? Object.values(loads) : [loads[name]];
  for (const load of selected) {
    if (load === undefined) {
      process.stderr.write(`unknown load; available loads: ${Object.keys(loads).join(', ')}\n`);
      process.exitCode = 2;
      return;
    }
    for (const scale of factor === undefined ? DEFAULT_FACTORS : [Number(factor)]) {
      const results = await Promise.all(
        SEEDS.map((seed) => replayStageLoad(scaleLoad(load, scale), seed)),
      );
      const mean = results.reduce((sum, { credit }) => sum + credit, 0) / results.length;
      process.stdout.write(`${load.name} times ${scale}: credit ${mean.toFixed(3)}\n`);
      for (const kind of results[0]?.kinds ?? []) process.stdout.write(`${formatKind(kind)}\n`);
    }
  }
}
