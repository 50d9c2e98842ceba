#!/bin/sh
# Builds the stand-ins of the cases: they are Python of the standard library alone.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
