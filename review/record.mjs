// Writes the record of a case and ends the process with the result.
import { createWriteStream } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');

/** Makes the paths in a text relative to the repository. */
const hideRoot = (text) => text.replaceAll('file://', '').replaceAll(`${ROOT}/`, '');

export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Whether the case runs with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Opens the record of a case, in the folder that the script names. */
export function openRecord(folder) {
  const startedAt = performance.now();
  const file = createWriteStream(`${folder}/record.txt`);
  const record = (text) => {
    file.write(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${hideRoot(text)}\n`);
  };
  return {
    record,
    /** Writes the result, also to standard output, and exits. */
    finish(code, text) {
      record(text);
      console.log(hideRoot(text));
      file.end(() => process.exit(code));
    },
  };
}

/** Runs a case; one that cannot run ends with a code of its own. */
export async function runCase(folder, run) {
  const { record, finish } = openRecord(folder);
  const stop = (error) => finish(NOT_RUN, `could not run: ${error.stack}`);
  // The exit code of an error that nobody handles would be that of a broken rule.
  process.on('uncaughtException', stop);
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => stop(new Error(signal)));
  try {
    const { isBroken, summary } = await run(record);
    finish(isBroken ? BROKEN : HELD, `${isBroken ? 'broken' : 'held'}: ${summary}`);
  } catch (error) {
    stop(error);
  }
}
