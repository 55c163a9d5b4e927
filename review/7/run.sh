#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without it.
cd "$(dirname "$0")" || exit 2
exec timeout --signal=INT -k 2 118 python3 -B read_anew.py
