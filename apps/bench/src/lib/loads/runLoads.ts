import { replayStageLoad, type KindResult } from './replayStageLoad.js';
import { crateLoad, millLoad, scaleLoad, type StageLoad } from './StageLoad.js';

const SEEDS = [1, 2, 3];
const DEFAULT_FACTORS = [1, 1.4, 1.8];
const loads: Readonly<Record<string, StageLoad>> = { crate: crateLoad, mill: millLoad };

function getQuantile(values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}

function formatKind({ name, asked, onTarget, late, failed, credit, owed, firstMs }: KindResult) {
  const median = Math.round(getQuantile(firstMs, 0.5));
  const high = Math.round(getQuantile(firstMs, 0.99));
  return `  ${name}: asked ${asked}, on target ${onTarget}, late ${late}, failed ${failed}, credit ${(credit / owed).toFixed(3)}, first event p50 ${median} ms, p99 ${high} ms`;
}

/**
 * Replays loads and prints how they fared: `loads [NAME] [FACTOR]`.
 *
 * @param args - a load's name and a factor for its requests; all when left out
 */
export async function runLoads(args: readonly string[]): Promise<void> {
  const [name, factor] = args;
  const chosen = name === undefined ? Object.values(loads) : [loads[name]];
  for (const load of chosen) {
    if (load === undefined) {
      process.stderr.write(`no such load; there are ${Object.keys(loads).join(', ')}\n`);
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
