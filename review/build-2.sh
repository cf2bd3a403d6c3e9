#!/usr/bin/env bash
# The stand-ins of the scripts are Python with its standard library alone: nothing is compiled, they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [0-9]*/case.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
CHECK
