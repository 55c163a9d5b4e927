#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
timeout --signal=INT --kill-after=5 115 python3 -B read_anew.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
