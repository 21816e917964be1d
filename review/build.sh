#!/bin/sh
# Checks that the stand-ins, which need no library, load with this Python.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review exec python3 -c \
    "import standins.cases, standins.clients"
