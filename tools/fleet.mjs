// Runs the users' benchmark on this checkout: npm run fleet -- quiet|score|hunt|incident SITE_FILE [options]
import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';

const JOBS = '4';
const HUNT_DAYS = '40';

const verbs = {
  quiet: (site, rest) => ['run', site, 'quiet-1', ...rest],
  score: (site, rest) => ['score', site, '--jobs', JOBS, ...rest],
  hunt: (site, rest) => ['hunt', site, '--days', HUNT_DAYS, '--jobs', JOBS, ...rest],
  incident: (site, rest) => ['incident', site, ...rest],
};

function fail(text) {
  console.error(text);
  process.exit(2);
}

const bench = process.env.FLEETBENCH;
const [verb, site, ...rest] = process.argv.slice(2);
if (bench === undefined || !existsSync(bench)) {
  fail('benchmark not found: set FLEETBENCH to the path of its executable');
}
const build = verbs[verb];
if (build === undefined) fail(`name a command: one of ${Object.keys(verbs).join(', ')}`);
if (site === undefined || !existsSync(site)) fail('no site file found after the command');
process.exit(spawnSync(bench, build(site, rest), { stdio: 'inherit' }).status ?? 1);
