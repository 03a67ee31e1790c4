#!/bin/sh
# Prepares the stand-ins of this review. They are Python 3 programs without dependencies, so that
# there is nothing to compile; this checks that the machine can run them.
set -e
cd "$(dirname "$0")"
for f in standin-2/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f"
done
