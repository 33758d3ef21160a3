#!/usr/bin/env bash
# Case 9. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Writes record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/stepspur ] || { echo "target/release/stepspur is not built"; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
timeout --kill-after=5 118 python3 review/9/case.py
code=$?
rm -rf "$TMPDIR"
[ "$code" -le 2 ] || code=2
exit "$code"
