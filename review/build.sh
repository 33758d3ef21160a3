#!/usr/bin/env bash
# Builds what the cases start beside the deploy file's programs. The stand-ins are Python 3 with its standard library
# alone, so there is nothing to compile; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, glob, sys
assert sys.version_info >= (3, 8), "Python 3.8 or later"
for path in glob.glob("standins/*.py") + glob.glob("[1-3]/*.py"):
    ast.parse(open(path).read(), path)
CHECK
test -x ../target/release/stepspur || echo "target/release/stepspur is not built yet: run the deploy file's build" >&2
