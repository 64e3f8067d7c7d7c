#!/usr/bin/env bash
# The stand-ins and scripts are plain JavaScript that uses only what Node.js has; this checks that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in shared/*.mjs [1-5]/*.mjs; do node --check "$file"; done
