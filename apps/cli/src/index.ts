/** The command-line tool. */
export { runCli } from './lib/runCli.js';
