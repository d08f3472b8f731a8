#!/usr/bin/env bash
# Builds the stand-ins of the scripts: the review's own, and the project's that they use.
# The build of the deploy file comes before it and installs the packages.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
export PYTHONPATH=target/deps:.
python3 -m compileall -q review/standin hawthorntrack/platform hawthorntrack/transport
python3 -c "import review.standin.site"
echo "stand-ins are built"
