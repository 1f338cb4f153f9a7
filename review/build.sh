#!/bin/sh
# Builds the stand-ins: they are Python without libraries, so they are only compiled to see that they can run.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m py_compile review/stand_ins.py review/[0-9]*/case.py
