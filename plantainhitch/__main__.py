"""Entry point of ``python -m plantainhitch``."""

import sys

from . import signal_mask


def main(prepare=lambda: None):
    """Run the command line of the process, ``prepare()`` first; return the exit code.

    Everything else is imported once the signals are held back, as it takes long.
    """
    signal_mask.block_for_command(sys.argv[1:])
    prepare()
    from .commands.main import main as run_command

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
