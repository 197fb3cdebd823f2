// Runs the property tests with more runs than CI: npm run soak -- --seed N --runs N [--only PATH]
import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';

import { listTests } from './list-tests.mjs';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    runs: { type: 'string', default: '5000' },
    // Part of the paths of the test files to run; the replays of large fleets take hours.
    only: { type: 'string', default: '' },
  },
});
const files = listTests().filter(
  (path) => path.includes(values.only) && /['"`]property: /.test(readFileSync(path, 'utf8')),
);
if (files.length === 0) {
  console.error(`soak: no test file with "${values.only}" in its path has a property test`);
  process.exit(2);
}
// fast-check prints the seed, the path and the shrunk counterexample of each failure.
const { status } = spawnSync(
  process.execPath,
  ['--test', '--test-reporter=spec', '--test-name-pattern=property:', ...files],
  { stdio: 'inherit', env: { ...process.env, SOAK_SEED: values.seed, SOAK_RUNS: values.runs } },
);
process.exitCode = status ?? 1;
