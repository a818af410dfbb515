#!/bin/sh
# Builds the project's stand-ins, which the scripts of cases 6 to 10 start, into dist/. Needs no network.
set -eu
cd "$(dirname "$0")/.."
node_modules/.bin/tsc -p tsconfig.json
