#!/usr/bin/env bash
# Daemons that start while the store is down each take the whole limit of cold engines for themselves.
# TROUBLE=0: the same starts, with the store up.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || exit 2
exec python3 -B case.py
