#!/usr/bin/env bash
# The next version of a service is ordered just after the one before was rolled back, while its engines still drain.
# TROUBLE=0: the next version is ordered when the engines of the one before have gone.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || exit 2
exec python3 -B case.py
