#!/bin/sh
# Builds the stand-ins of the scripts. They need the standard library alone, so it only checks them.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=. python3 -c "import caller, frame, standin_servers, host_processes, standin_store"
