import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { createRequire } from 'node:module';
import { join } from 'node:path';

import type { SideResult } from './runScenario.js';

const PLOT_STEP_SECONDS = 0.5;
const colours = ['#0b7285', '#e8590c', '#5f3dc4', '#2b8a3e'];

function formatRows(side: SideResult): string {
  return side.targets
    .map(({ name, value, bound, direction, isMet }) => {
      const relation = direction === 'at-least' ? '≥' : '≤';
      const cells = [name, value.toFixed(3), `${relation} ${bound}`, isMet ? 'met' : 'missed'];
      return `<tr>${cells.map((cell) => `<td>${cell}</td>`).join('')}</tr>`;
    })
    .join('\n');
}

function formatSide(title: string, side: SideResult): string {
  const ranks = Object.entries(side.attainmentByRank)
    .map(([rank, { attained, sent, share }]) => `${rank} ${attained}/${sent} (${share.toFixed(3)})`)
    .join(', ');
  return `<h2>${title}</h2>
<p>Attained: ${ranks}. Wasted service: ${(side.wasteShare * 100).toFixed(1)} %.
Lost ${side.lost}, doubled ${side.doubled}, false not-run ${side.falseNotRun}.</p>
<table>${formatRows(side)}</table>
<div id="plot-${title}"></div>`;
}

function formatPlot(title: string, side: SideResult): string {
  const ranks = Object.keys(side.timeline);
  const steps = Math.max(...Object.values(side.timeline).map((values) => values.length));
  const seconds = Array.from({ length: steps }, (_value, step) => step * PLOT_STEP_SECONDS);
  const series = [
    {},
    ...ranks.map((label, index) => ({ label, stroke: colours[index % colours.length], width: 2 })),
  ];
  const options = { width: 900, height: 260, scales: { x: { time: false } }, series };
  const data = [seconds, ...ranks.map((rank) => side.timeline[rank])];
  return `new uPlot(${JSON.stringify(options)}, ${JSON.stringify(data)}, document.getElementById('plot-${title}'));`;
}

/**
 * Writes an experiment's result as a page with plots of attainment over time.
 *
 * @param folder - where to write it; made if missing
 * @param name - the experiment
 * @param sides - the results
 * @public
 */
export async function writeReport(
  folder: string,
  name: string,
  sides: { readonly product: SideResult; readonly baseline: SideResult },
): Promise<void> {
  const require = createRequire(import.meta.url);
  const script = await readFile(require.resolve('uplot/dist/uPlot.iife.min.js'), 'utf8');
  const style = await readFile(require.resolve('uplot/dist/uPlot.min.css'), 'utf8');
  const page = `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${name}</title>
<style>${style} body { font: 15px sans-serif; margin: 2em; } td { padding: 0 1em 0 0; }</style>
</head><body><h1>${name}: attainment by rank over time, in seconds</h1>
${formatSide('product', sides.product)}
${formatSide('baseline', sides.baseline)}
<script>${script}
${formatPlot('product', sides.product)}
${formatPlot('baseline', sides.baseline)}</script></body></html>
`;
  await mkdir(folder, { recursive: true });
  await writeFile(join(folder, `${name}.html`), page);
}
