#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start beside the member process: the cases with their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
for number in 11 12 13 14 15; do
  [ -f "review/$number/case.ts" ] || continue
  node_modules/.bin/esbuild "review/$number/case.ts" --bundle --platform=node --target=node20 --format=esm --outfile="target/review-3/$number.mjs" --log-level=warning \
    --banner:js='import { createRequire } from "node:module"; const require = createRequire(import.meta.url);'
done
