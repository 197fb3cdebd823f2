// Runs the property tests with more runs than CI: npm run soak -- --seed N --runs N
import { spawnSync } from 'node:child_process';
import { parseArgs } from 'node:util';

const { values } = parseArgs({
  options: { seed: { type: 'string', default: '1' }, runs: { type: 'string', default: '5000' } },
});
const files = [
  'packages/claims/dist/lib/claimsSchedule.test.js',
  'packages/admission/dist/lib/createStageQueue.test.js',
  'packages/admission/dist/lib/apportionSlots.test.js',
  'packages/admission/dist/lib/createRetryBudget.test.js',
  'packages/routing/dist/lib/computeOwnSlots.test.js',
  'packages/pipeline/dist/lib/runStage.test.js',
  'apps/daemon/dist/lib/createControlState.test.js',
  'packages/relay/dist/lib/createConfigurationTracker.test.js',
  'packages/relay/dist/lib/crashReports.test.js',
  'packages/relay/dist/lib/limitReports.test.js',
  'packages/relay/dist/lib/leavingReports.test.js',
  'packages/relay/dist/lib/requestedBackoffs.test.js',
  'packages/relay/dist/lib/streams/streamOrigins.test.js',
  'packages/relay/dist/lib/pieces/dispatcherInvariants.test.js',
];
// fast-check prints the seed, the path and the shrunk counterexample of each failure.
const { status } = spawnSync(
  process.execPath,
  ['--test', '--test-reporter=spec', '--test-name-pattern=property:', ...files],
  { stdio: 'inherit', env: { ...process.env, SOAK_SEED: values.seed, SOAK_RUNS: values.runs } },
);
process.exitCode = status ?? 1;
