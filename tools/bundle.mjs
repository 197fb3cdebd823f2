// Bundles the daemon that the deploy file starts into a single file, and makes its code cache, for a
// short startup time.
import { spawnSync } from 'node:child_process';
import { copyFileSync, readFileSync, writeFileSync } from 'node:fs';

import { build } from 'esbuild';

const DEPLOY_FILE = 'deploy/system.toml';
/** The warm-up takes two seconds. */
const WARM_UP_TIMEOUT_MS = 60_000;

/** Returns the options of the runtime in the deploy file: a cache fits only the same options. */
function readRuntimeOptions() {
  const run = /^run = "node (.*)"$/m.exec(readFileSync(DEPLOY_FILE, 'utf8'));
  if (run === null) throw new Error(`${DEPLOY_FILE} has no command that runs node`);
  return run[1].split(' ').filter((word) => word.startsWith('--'));
}

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/bundle.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  charset: 'ascii',
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: 'none',
  define: { 'import.meta.url': 'bundleUrl' },
  banner: { js: "const bundleUrl = require('node:url').pathToFileURL(__filename).href;" },
});
copyFileSync('tools/launcher.cjs', 'target/endiveferryd.cjs');

const options = readRuntimeOptions();
writeFileSync('target/runtime-options.json', JSON.stringify(options));
const warmUp = spawnSync(process.execPath, [...options, 'tools/create-code-cache.mjs'], {
  encoding: 'utf8',
  timeout: WARM_UP_TIMEOUT_MS,
});
// The daemon runs without a cache too; it only starts later.
if (warmUp.status !== 0) console.error(`no code cache was made: ${warmUp.stderr}`);
