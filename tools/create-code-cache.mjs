// Runs the bundled daemon once among stand-ins and stores the code that it compiled, so that a
// process of the fleet starts without compiling. The options of the runtime must be those of the
// deploy file, because a cache fits only the options that it was made with.
import { rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join } from 'node:path';

import { warmUpHost } from '../platform/dist/index.js';

const TARGET = join(import.meta.dirname, '..', 'target');
const CACHE = join(TARGET, 'bundle.cache');

rmSync(CACHE, { force: true });
const require = createRequire(import.meta.url);
let script;
await warmUpHost(() => {
  script = require(join(TARGET, 'endiveferryd.cjs'));
});
writeFileSync(CACHE, script.createCachedData());
process.exit(0);
