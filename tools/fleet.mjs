// Runs the users' benchmark on this checkout: npm run fleet -- quiet|score|hunt|incident SITE_FILE [options]
import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';

const JOBS = '4';
const HUNT_DAYS = '40';

const commands = {
  quiet: (site, rest) => ['run', site, 'quiet-1', ...rest],
  score: (site, rest) => ['score', site, '--jobs', JOBS, ...rest],
  hunt: (site, rest) => ['hunt', site, '--days', HUNT_DAYS, '--jobs', JOBS, ...rest],
  incident: (site, rest) => ['incident', site, ...rest],
};

function fail(message) {
  console.error(message);
  process.exit(2);
}

const bench = process.env.FLEETBENCH;
const [command, site, ...rest] = process.argv.slice(2);
if (bench === undefined || !existsSync(bench)) {
  fail('benchmark not found: set FLEETBENCH to the path of its executable');
}
const buildArguments = commands[command];
if (buildArguments === undefined)
  fail(`unknown or missing command; use one of ${Object.keys(commands).join(', ')}`);
if (site === undefined || !existsSync(site))
  fail('site file is missing or does not exist; name it after the command');
process.exit(spawnSync(bench, buildArguments(site, rest), { stdio: 'inherit' }).status ?? 1);
