#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# KEEP_LOG=FILE keeps the conductor's log.
cd "$(dirname "$0")" || exit 2
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP PYTHONDONTWRITEBYTECODE=1
trap 'rm -rf "$CASE_TMP"' EXIT
timeout -k 2 118 python3 case.py
code=$?
if [ -n "${KEEP_LOG:-}" ]; then cp "$CASE_TMP/conductor.log" "$KEEP_LOG"; fi
if [ $code -gt 2 ]; then code=2; fi
exit $code
