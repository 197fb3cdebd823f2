#!/usr/bin/env node
import { runCliProcess } from '@endiveferry/cli';

await runCliProcess(process.argv.slice(2));
