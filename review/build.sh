#!/usr/bin/env bash
# Compiles the stand-ins; the hosts are built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins
