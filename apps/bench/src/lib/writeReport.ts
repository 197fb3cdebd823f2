import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { createRequire } from 'node:module';
import { join } from 'node:path';

import type { SystemResult } from './runScenario.js';

/** Interval of the attainment timeline; equals `PLOT_STEP_MS` of runScenario. */
const PLOT_STEP_SECONDS = 0.5;
const seriesColors = ['#0b7285', '#e8590c', '#5f3dc4', '#2b8a3e'];

function formatTargetRows(result: SystemResult): string {
  return result.targets
    .map(({ name, value, bound, direction, isMet }) => {
      const relation = direction === 'at-least' ? '≥' : '≤';
      const cells = [name, value.toFixed(3), `${relation} ${bound}`, isMet ? 'met' : 'missed'];
      return `<tr>${cells.map((cell) => `<td>${cell}</td>`).join('')}</tr>`;
    })
    .join('\n');
}

function formatResult(title: string, result: SystemResult): string {
  const ranks = Object.entries(result.attainmentByRank)
    .map(([rank, { attained, sent, share }]) => `${rank} ${attained}/${sent} (${share.toFixed(3)})`)
    .join(', ');
  return `<h2>${title}</h2>
<p>Attained: ${ranks}. Wasted service: ${(result.wasteShare * 100).toFixed(1)} %.
Lost ${result.lost}, doubled ${result.doubled}, false not-run ${result.falseNotRun}.</p>
<table>${formatTargetRows(result)}</table>
<div id="plot-${title}"></div>`;
}

function formatPlot(title: string, result: SystemResult): string {
  const ranks = Object.keys(result.timeline);
  const steps = Math.max(...Object.values(result.timeline).map((values) => values.length));
  const seconds = Array.from({ length: steps }, (_value, step) => step * PLOT_STEP_SECONDS);
  const series = [
    {},
    ...ranks.map((label, index) => ({
      label,
      stroke: seriesColors[index % seriesColors.length],
      width: 2,
    })),
  ];
  const options = { width: 900, height: 260, scales: { x: { time: false } }, series };
  const data = [seconds, ...ranks.map((rank) => result.timeline[rank])];
  return `new uPlot(${JSON.stringify(options)}, ${JSON.stringify(data)}, document.getElementById('plot-${title}'));`;
}

/**
 * Writes the result of an experiment as an HTML page with plots of attainment over time.
 *
 * @param folder - the output folder, which is created if missing
 * @param name - name of the experiment and of the file
 * @param results - the results of the product and the baseline
 * @throws Error when the file cannot be written
 * @public
 */
export async function writeReport(
  folder: string,
  name: string,
  results: { readonly product: SystemResult; readonly baseline: SystemResult },
): Promise<void> {
  const require = createRequire(import.meta.url);
  const script = await readFile(require.resolve('uplot/dist/uPlot.iife.min.js'), 'utf8');
  const style = await readFile(require.resolve('uplot/dist/uPlot.min.css'), 'utf8');
  const page = `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${name}</title>
<style>${style} body { font: 15px sans-serif; margin: 2em; } td { padding: 0 1em 0 0; }</style>
</head><body><h1>${name}: attainment by rank over time, in seconds</h1>
${formatResult('product', results.product)}
${formatResult('baseline', results.baseline)}
<script>${script}
${formatPlot('product', results.product)}
${formatPlot('baseline', results.baseline)}</script></body></html>
`;
  await mkdir(folder, { recursive: true });
  await writeFile(join(folder, `${name}.html`), page);
}
