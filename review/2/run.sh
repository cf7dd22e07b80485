#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 it
# does the same without the disruption.
cd "$(dirname "$0")" || exit 2
timeout -k 3 115 python3 -B case.py
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
