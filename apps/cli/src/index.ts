/** The `endiveferry` command-line tool. */
export { runCli } from './lib/runCli.js';
export { runCliProcess } from './lib/runCliProcess.js';
