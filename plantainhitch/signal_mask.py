"""Holds back the signals that the long-running commands handle.

The default action of these signals ends the process, and their handlers are installed
once the event loop runs. Until the process serves, and again while its loop closes,
they are blocked: the operating system keeps one of each, and delivers it when they are
unblocked.

This module is imported before all others, so it imports little itself.
"""

import signal

# SIGHUP: the settings file has changed. SIGINT and SIGTERM: stop.
HANDLED_SIGNALS = frozenset({signal.SIGHUP, signal.SIGINT, signal.SIGTERM})
LONG_RUNNING_COMMANDS = frozenset(
    {"agent", "deployed-agent", "deployed-entry", "entry"}
)


def block():
    """Hold back the signals from now on."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock():
    """Deliver the signals that were held back, and all later ones."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


def current():
    """Return the set of all signals that are held back."""
    return signal.pthread_sigmask(signal.SIG_BLOCK, ())


def restore(mask):
    """Hold back the signals of a ``mask`` from ``current``, and no others."""
    signal.pthread_sigmask(signal.SIG_SETMASK, mask)


def block_for_command(arguments):
    """Hold back the signals if a command line, without the program, needs it.

    The other commands have no handlers, and a signal is to end them at any time.
    """
    if arguments and arguments[0] in LONG_RUNNING_COMMANDS:
        block()
