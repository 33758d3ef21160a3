#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start besides the programs of the deploy file. The stand-ins are Python
# programs of the standard library alone: this checks that python3 is there and can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import pathlib
import sys

if sys.version_info < (3, 8):
    sys.exit("python3 is older than 3.8")
for path in sorted(pathlib.Path(".").glob("standins-2/*.py")) + sorted(pathlib.Path(".").glob("*/case.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
CHECK
