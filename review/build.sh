#!/usr/bin/env bash
# The stand-ins are plain Node.js programs without dependencies: nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do node --check "$file"; done
