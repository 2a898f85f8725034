#!/bin/sh
# Checks that the stand-ins of the scripts can be loaded; nothing has to be compiled.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 -c "
import sys
sys.path.insert(0, 'review')
import lab
"
