#!/bin/sh
# Prepares the stand-ins of the scripts in review/9 to review/13. They are written in Python and
# need no build: this checks that the interpreter takes them. The program itself is built by the
# command in deploy/system.toml.
cd "$(dirname "$0")" || exit 2
python3 - common-3/harness.py 9/case.py 10/case.py 11/case.py 12/case.py 13/case.py <<'CHECK'
import ast
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is needed")
for path in sys.argv[1:]:
    with open(path) as f:
        ast.parse(f.read(), path)
CHECK
