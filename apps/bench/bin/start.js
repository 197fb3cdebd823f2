#!/usr/bin/env node
import { runStart } from '@endiveferry/bench';

await runStart(process.argv.slice(2));
