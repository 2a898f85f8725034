#!/bin/bash
# Checks what the scripts of the second review need: the libraries of the build of the
# deploy file, and the stand-ins of the project and of review/stage.py. All of them are
# Python and need no build of their own.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 -c 'import sys; sys.path.insert(0, "review"); import stage'
