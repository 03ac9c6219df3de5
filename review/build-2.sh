#!/bin/sh
# Builds what review/7/run.sh starts: stand-ins of Python's standard library alone.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q review/7
