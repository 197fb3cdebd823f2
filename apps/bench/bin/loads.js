#!/usr/bin/env node
import { runLoads } from '@endiveferry/bench';

await runLoads(process.argv.slice(2));
