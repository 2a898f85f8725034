"""Exit codes of the commands, as documented in ``docs/commands.md``."""

import enum


class ExitCode(enum.IntEnum):
    """The meaning of a command's exit code."""

    OK = 0
    # The answer is a failure, or a refusal which guarantees that nothing ran.
    FAILED = 1
    # Invalid arguments, files or fields; nothing was done.
    USAGE = 2
    # It isn't known whether anything was run or changed.
    UNKNOWN = 3
