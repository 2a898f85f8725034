"""Validation of files that operators write; all errors are found in one pass.

A ``Problem`` is one error: its place and what is allowed there. Rules are data
classes; ``check_table`` applies them to one table of a TOML file.
"""

import difflib
import ipaddress
import re
import tomllib
from dataclasses import dataclass, replace
from pathlib import Path

from returns.result import Failure, Result, Success

from .toml_lines import KeyLines

MAX_SHOWN_CHARACTERS = 60
MAX_PORT = 65_535
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
NAME_RULE = "1 to 64 letters, digits, '-', '_' or '.', the first a letter or digit"


@dataclass(frozen=True, slots=True)
class Problem:
    """One error in a file.

    ``key`` is the dotted path; ``value`` the value as written, empty if the key is
    absent; ``allowed`` says what is allowed; ``line`` counts from 1 and is 0 if it
    isn't known.
    """

    key: str
    value: str
    allowed: str
    file: str = ""
    line: int = 0

    def __str__(self):
        place = f"{self.file}:{self.line}" if self.line else self.file
        prefix = f"{place}: " if place else ""
        value = f" = {self.value}" if self.value else ""
        return f"{prefix}{self.key}{value}: {self.allowed}"


@dataclass(frozen=True, slots=True)
class IntegerRange:
    """A rule: an integer from ``low`` to ``high``, both included."""

    low: int
    high: int


@dataclass(frozen=True, slots=True)
class Fraction:
    """A rule: a number from 0 to 1; ``exclusive`` excludes 0 and 1."""

    exclusive: bool = False


@dataclass(frozen=True, slots=True)
class Boolean:
    """A rule: a boolean."""


@dataclass(frozen=True, slots=True)
class Name:
    """A rule: a name, or the empty string if ``optional``."""

    optional: bool = False


@dataclass(frozen=True, slots=True)
class Choice:
    """A rule: one of ``values``."""

    values: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """A rule: an IP address and a port, ``IP:port``, or empty if ``optional``.

    ``any_port`` allows port 0, for which the system chooses a free port.
    """

    optional: bool = False
    any_port: bool = False


@dataclass(frozen=True, slots=True)
class Url:
    """A rule: an ``http://`` or ``https://`` URL, or the empty string."""


def format_value(value):
    """Return the text of ``value`` for a problem, shortened if it is long."""
    text = str(value).lower() if isinstance(value, bool) else repr(value)
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return text[: MAX_SHOWN_CHARACTERS - 3] + "..."


def suggest_name(name, allowed):
    """Return a hint with the allowed name closest to ``name``, else an empty text."""
    close = difflib.get_close_matches(name, list(allowed), n=1)
    return f"; did you mean {close[0]!r}?" if close else ""


def check_table(key, table, rules, required=(), messages=None):
    """Return the problems of one table.

    ``messages`` maps keys that are not allowed here, but known, to a text that says
    what to do instead. ``required`` names the keys that have to be there.
    """
    problems = []
    messages = messages or {}
    for name, value in table.items():
        path = f"{key}.{name}"
        if name in rules:
            allowed = check_value(rules[name], value)
        elif name in messages:
            allowed = messages[name]
        else:
            hint = suggest_name(name, rules)
            allowed = f"unknown key; one of {', '.join(rules)}{hint}"
        if allowed:
            problems.append(Problem(path, format_value(value), allowed))
    for name in required:
        if name not in table:
            allowed = f"missing; give {describe_rule(rules[name])}"
            problems.append(Problem(f"{key}.{name}", "", allowed))
    return problems


def check_value(rule, value):
    """Return what the rule allows if ``value`` breaks it, else an empty text."""
    return "" if _satisfies(rule, value) else describe_rule(rule)


def describe_rule(rule):
    """Return a text that says what a rule allows."""
    match rule:
        case IntegerRange(low, high):
            return f"a whole number from {low} to {high}"
        case Fraction(exclusive=True):
            return "a number above 0 and below 1"
        case Fraction():
            return "a number from 0 to 1"
        case Boolean():
            return "true or false"
        case Name():
            return f"a name: {NAME_RULE}"
        case Choice(values):
            return f"one of {', '.join(values)}"
        case SocketAddress(any_port=any_port):
            low = 0 if any_port else 1
            return f"an address IP:port, port {low} to {MAX_PORT}"
        case Url():
            return "an address that begins with http:// or https://, or empty"
    raise TypeError(f"not a rule: {rule!r}")


def read_toml(path, read_tables) -> Result:
    """Read a TOML file and return the result of ``read_tables(tables)``.

    ``read_tables`` returns a Result; the problems of a Failure get the file's name and
    their line numbers. A file that can't be read or parsed is a Failure too.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure((Problem("file", "", f"can't be read: {error}", str(path)),))
    return parse_toml(text, str(path), read_tables)


def parse_toml(text, file, read_tables) -> Result:
    """Like ``read_toml``, for the ``text`` of ``file``."""
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Failure((Problem("TOML", "", str(error), file),))
    result = read_tables(tables)
    if isinstance(result, Success):
        return result
    lines = KeyLines.from_text(text)
    return Failure(
        tuple(
            replace(problem, file=file, line=lines.line_of(problem.key))
            for problem in result.failure()
        )
    )


def _satisfies(rule, value):
    match rule:
        case IntegerRange(low, high):
            return _is_integer(value) and low <= value <= high
        case Fraction(exclusive=True):
            return _is_number(value) and 0 < value < 1
        case Fraction():
            return _is_number(value) and 0 <= value <= 1
        case Boolean():
            return isinstance(value, bool)
    return isinstance(value, str) and _text_satisfies(rule, value)


def _text_satisfies(rule, text):
    match rule:
        case Name(optional):
            return bool(NAME_PATTERN.fullmatch(text)) or (optional and not text)
        case Choice(values):
            return text in values
        case SocketAddress(optional, any_port):
            if not text:
                return optional
            return _is_socket_address(text, 0 if any_port else 1)
        case Url():
            return not text or text.startswith(("http://", "https://"))
    raise TypeError(f"not a rule: {rule!r}")


def _is_integer(value):
    return isinstance(value, int) and not isinstance(value, bool)


def _is_number(value):
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_socket_address(text, lowest_port):
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and lowest_port <= int(port) <= MAX_PORT
