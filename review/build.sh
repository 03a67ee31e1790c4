#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are written in Python and run inside the
# script's own process, so this only compiles them, which finds errors of syntax.
set -eu
cd "$(dirname "$0")"
python3 - standin/*.py */case.py <<'PY'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as f:
        compile(f.read(), path, "exec")
PY
