#!/usr/bin/env bash
# Builds all stand-ins that the scripts of the cases 6 to 10 start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
node review/shared-2/build.mjs
