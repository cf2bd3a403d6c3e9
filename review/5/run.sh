#!/usr/bin/env bash
# Sessions go back to the old version when a daemon that was restarted during the rollout serves them.
# TROUBLE=0: the same rollout without restarts.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || exit 2
exec python3 -B case.py
