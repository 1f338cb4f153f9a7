#!/bin/sh
# Builds the stand-ins of the cases 6 and up: Python of the standard library alone, so compiling them is all.
# Runs after the build of deploy/balancer.toml and needs no network.
set -eu
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q stand_ins_2.py explore_2.py [6-9] $(ls -d 10 2>/dev/null || true)
