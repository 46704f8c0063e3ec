#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs without modules beyond the
# standard library; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/*.py [0-9]*/case.py <<'PY'
import ast
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
PY
