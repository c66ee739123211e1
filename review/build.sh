#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they are Python without dependencies, so
# this only compiles them. The project's own stand-ins aren't used.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
