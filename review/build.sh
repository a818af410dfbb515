#!/usr/bin/env bash
# Builds the project's store stand-in (dist/stand-ins) that the scripts start, and checks the other stand-ins.
set -eu
cd "$(dirname "$0")/.."
npm run --silent build
for file in review/*.mjs review/*/*.mjs; do node --check "$file"; done
