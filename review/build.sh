#!/bin/sh
# The stand-ins of the cases are plain JavaScript with the built-in modules, so there is nothing to
# build. This checks that all of them can be parsed.
cd "$(dirname "$0")" || exit 2
for file in *.mjs [1-5]/*.mjs; do
  node --check "$file" || exit 1
done
