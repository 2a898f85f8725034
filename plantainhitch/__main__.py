"""Entry point of ``python -m plantainhitch``."""

import sys

from .commands.main import main

if __name__ == "__main__":
    sys.exit(main())
