"""Checks of command line options, and the error for invalid ones."""

from ..transport.addresses import Address


class UsageError(ValueError):
    """An option has an invalid value; the command prints the error and exits with 2."""


def check_number(option, value, *, minimum=0, kind=int):
    """Return ``value`` as a number; raise UsageError if it isn't a valid one.

    ``kind`` is int or float; ``minimum`` is the smallest value allowed.
    """
    allowed = f"a whole number of at least {minimum}"
    if kind is float:
        allowed = f"a number of at least {minimum}"
    is_number = isinstance(value, int | kind) and not isinstance(value, bool)
    if not is_number or not value >= minimum:
        raise UsageError(f"--{option}: {value!r} is not {allowed}")
    return kind(value)


def check_address(option, value):
    """Return ``value`` as an ``Address``; raise UsageError if it isn't one."""
    try:
        return Address.from_text(str(value))
    except ValueError as error:
        raise UsageError(f"--{option}: {error}") from error
