#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. They are Python and need only
# the packages that the build of the deploy file has put into target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps" python3 -c "import aiohttp"
PYTHONPATH="$PWD/target/deps" python3 -m compileall -q review/standin-2
