#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$root/target/deps"
exec python3 case.py
