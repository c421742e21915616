#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || exit 2
PYTHONPATH=../standins2 exec ../../.venv/bin/python case.py
