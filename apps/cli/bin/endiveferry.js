#!/usr/bin/env node
import { runCli } from '@endiveferry/cli';

process.exitCode = await runCli(process.argv.slice(2));
