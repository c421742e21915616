#!/bin/sh
# Builds the stand-ins of the cases; run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/standins review/1 review/2 review/3
