"""Entry point of ``python -m plantainhitch``."""

import sys

from . import signal_mask


def main():
    """Run the command line of the process; return the exit code."""
    signal_mask.block_for_command(sys.argv[1:])
    # Imported with the signals held back, as it takes long.
    from .commands.main import main as run_command

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
