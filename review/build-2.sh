#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are plain modules of Node.js with no dependency: nothing is compiled.
# They start target/platform-router.mjs, which the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin-2/*.mjs [6-9]/run.mjs 10/run.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
