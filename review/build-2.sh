#!/bin/sh
# Builds what the scripts of review/7 start: stand-ins of Python's standard library alone.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q review/fleet2 review/7
