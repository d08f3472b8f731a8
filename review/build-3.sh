#!/bin/sh
# Builds what the cases 11 to 15 start besides the programs of the deploy file: their
# stand-ins are Python files that use the standard library only.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standin-3
