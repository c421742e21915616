#!/bin/sh
# Prepares the cases 6 to 10: the libraries of this project's own extras (leases, authz, certs), pinned in
# requirements-dev.txt, go into the virtual environment of the deploy file's build. The stand-ins are plain Python.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || python3 -m venv .venv
.venv/bin/python -m pip install -q --disable-pip-version-check -r requirements.txt -r requirements-dev.txt
.venv/bin/python -m compileall -q review/standins2
