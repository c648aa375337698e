#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: Python modules without dependencies.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
python3 -m compileall -q review/standins2 review/standins3
for case in 6 7 8 9 10; do
  if [ -f "review/$case/run.py" ]; then python3 -m compileall -q "review/$case/run.py"; fi
done
