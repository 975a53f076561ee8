#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are plain scripts in review/lib-2 and need no build; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/case.mjs 7/case.mjs 8/case.mjs 9/case.mjs 10/case.mjs; do
  if [ -e "$file" ]; then
    node --check "$file"
  fi
done
