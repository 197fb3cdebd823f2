import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { createRequire } from 'node:module';
import { join } from 'node:path';

/** Processor time of one host, from its start to each second, in milliseconds. */
interface MeasuredStart {
  readonly peers: number;
  readonly startMs: readonly number[];
}

const seriesColors = ['#0b7285', '#e8590c', '#5f3dc4', '#2b8a3e'];

/**
 * Writes a page with the processor time of hosts second by second.
 *
 * @param folder - the output folder, which is created if missing
 * @param starts - the hosts
 * @throws Error when the file cannot be written
 * @internal
 */
export async function writeHostCost(
  folder: string,
  starts: readonly MeasuredStart[],
): Promise<void> {
  const require = createRequire(import.meta.url);
  const script = await readFile(require.resolve('uplot/dist/uPlot.iife.min.js'), 'utf8');
  const style = await readFile(require.resolve('uplot/dist/uPlot.min.css'), 'utf8');
  const seconds = starts[0]?.startMs.map((_, index) => index + 1) ?? [];
  const used = starts.map(({ startMs }) =>
    startMs.map((total, index) => total - (startMs[index - 1] ?? 0)),
  );
  const series = [
    {},
    ...starts.map(({ peers }, index) => ({
      label: `${peers + 1} hosts`,
      stroke: seriesColors[index % seriesColors.length],
    })),
  ];
  const options = { width: 900, height: 320, scales: { x: { time: false } }, series };
  const page = `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>host-cost</title><style>${style}</style></head>
<body><h1>Processor time of one host in each second after its start, in milliseconds</h1>
<div id="plot"></div><script>${script}
new uPlot(${JSON.stringify(options)}, ${JSON.stringify([seconds, ...used])}, document.getElementById('plot'));
</script></body></html>
`;
  await mkdir(folder, { recursive: true });
  await writeFile(join(folder, 'host-cost.html'), page);
}
