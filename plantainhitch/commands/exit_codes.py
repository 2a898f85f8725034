"""Exit codes of the commands that talk to an entry; ``docs/commands.md`` has them."""

import enum


class ExitCode(enum.IntEnum):
    """What a command's exit code says."""

    OK = 0
    # The answer is a failure, or a refusal that proves that nothing ran.
    FAILED = 1
    # Bad arguments, files or fields; nothing was done.
    USAGE = 2
    # No answer settles what happened.
    UNKNOWN = 3
