#!/usr/bin/env bash
# Runs the case in the folder given, with the packages of the build; ends it after 120 s.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "build first" >&2; exit 2; }
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
timeout -k 5 112 python3 "review/$1/case.py"
code=$?
[ $code -le 2 ] || code=2
exit $code
