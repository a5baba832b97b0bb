#!/bin/sh
# Builds the stand-ins of the second review and those of the project that it starts.
# They are Python, so that they are only compiled.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q lib2 6 7 8 9 10 ../standins
