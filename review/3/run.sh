#!/usr/bin/env bash
# A request inside another request's body reaches an engine. TROUBLE=0: the same body, sent with its length.
cd "$(dirname "$0")" && exec python3 -B case.py
