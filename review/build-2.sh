#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the program of the deploy file. Their
# stand-ins are plain JavaScript on built-in modules, so that they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
node --check stand-ins-2.mjs
for file in 6 7 8 9 10; do
  [ ! -e "$file/case.mjs" ] || node --check "$file/case.mjs"
done
