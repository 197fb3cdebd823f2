#!/usr/bin/env node
import { runProcess } from '@endiveferry/daemon';

await runProcess(process.argv.slice(2));
