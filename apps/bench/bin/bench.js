#!/usr/bin/env node
import { runBench } from '@endiveferry/bench';

await runBench(process.argv.slice(2));
