#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python and use only the libraries
# in target/deps, which the build of deploy/system.toml installs.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -m compileall -q review/standins review/[1-5] >/dev/null
python3 -c 'import review.standins.case'
