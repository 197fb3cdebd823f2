import { readdirSync, readFileSync } from 'node:fs';

const NANOSECONDS_PER_MILLISECOND = 1_000_000;
const BYTES_PER_KILOBYTE = 1_024;
const BYTES_PER_MEGABYTE = 1_000_000;

/** Resources that a process has used since its start. @internal */
export interface ProcessUse {
  /** Processor time of all its threads, in milliseconds. */
  readonly processorMs: number;
  /** Resident memory, in megabytes. */
  readonly residentMb: number;
}

function readProcessorMs(pid: number): number {
  const folder = `/proc/${pid}/task`;
  // The first figure is the time that the thread has run, in nanoseconds.
  return readdirSync(folder)
    .map((task) => Number(readFileSync(`${folder}/${task}/schedstat`, 'utf8').split(' ')[0]))
    .reduce((sum, ranNs) => sum + ranNs / NANOSECONDS_PER_MILLISECOND, 0);
}

/**
 * Measures another process of this machine, by its threads that are still alive.
 *
 * @param pid - the id of the process
 * @returns what it has used
 * @throws Error when the process has ended
 * @internal
 */
export function measureProcess(pid: number): ProcessUse {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const residentKb = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0);
  return {
    processorMs: readProcessorMs(pid),
    residentMb: (residentKb * BYTES_PER_KILOBYTE) / BYTES_PER_MEGABYTE,
  };
}
