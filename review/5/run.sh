#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps:."
python3 -c 'import review.standins.case' || exit 2
exec python3 review/5/play.py
