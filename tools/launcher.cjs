// Starts the bundled daemon with the code cache that the build made. Without a cache that fits this
// runtime the daemon compiles its code as it runs.
const { existsSync, readFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

const BUNDLE = join(__dirname, 'bundle.cjs');
const CACHE = join(__dirname, 'bundle.cache');

// The bundle is ASCII, and Latin-1 text is decoded without a scan.
const source = readFileSync(BUNDLE, 'latin1');
const script = new Script(`(function (require, module, exports, __filename) {${source}\n})`, {
  filename: BUNDLE,
  ...(existsSync(CACHE) ? { cachedData: readFileSync(CACHE) } : {}),
});
if (script.cachedDataRejected !== false)
  process.stderr.write('the code cache is missing or of another runtime; compiling\n');
script.runInThisContext()(require, module, exports, BUNDLE);
module.exports = script;
