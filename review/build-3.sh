#!/usr/bin/env bash
# Builds what the scripts of review 3 start, after the build of the deploy file. The
# stand-ins are Python modules of the repository and of review/, so nothing is compiled
# or installed: this checks that each of them can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 -S -c '
import plantainhitch.standins.run_endpoint, plantainhitch.standins.store_rows
import review.lab3
'
