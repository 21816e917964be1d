#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: they need no more than Python.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q stand_ins_2
