#!/bin/sh
# Builds the stand-ins of the second review's cases: Python files of the standard library, compiled once.
# The environment is the one that the deploy file's `build` command leaves.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/rig2.py review/6 review/7 review/8 review/9 review/10 2>/dev/null || true
.venv/bin/python -c "import tomllib, asyncio"
