#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are plain modules for Node.js without dependencies, so nothing is compiled.
# This only checks that each can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/case.mjs; do
  node --check "$file"
done
