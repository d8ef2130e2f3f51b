#!/bin/sh
# Builds what the scripts of cases 11 to 15 start beside the program of the deploy file. Their stand-ins
# (standin-3/) are plain JavaScript without dependencies, so there is only to check that they can be read.
cd "$(dirname "$0")" || exit 2
for file in standin-3/*.mjs 1[1-5]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file" || exit 1
done
