#!/bin/sh
# Builds the stand-ins of the second review's cases, after the `build` command of the deploy file: they are Python
# files that need the standard library alone. Nothing is fetched.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q -f review/rig2.py review/6 review/7 review/8 review/9 review/10
