#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild platform/stand_in/store_stand_in.ts --bundle --platform=node \
  --target=node20 --format=esm --alias:ts-results=ts-results/esm/index.js \
  --outfile=target/review/store_stand_in.mjs --log-level=warning
