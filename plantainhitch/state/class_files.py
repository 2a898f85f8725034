"""Class files: TOML in which operators define classes of work and teams' quotas.

All errors of a file are reported at once. The same checks apply to the JSON body of
``PUT /v1/classes``.
"""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from ..validation import (
    NAME_PATTERN,
    NAME_RULE,
    Boolean,
    Fraction,
    IntegerRange,
    Name,
    Problem,
    check_table,
    format_value,
    parse_toml,
    read_toml,
    suggest_name,
)
from .classes import ClassDefinition, TeamQuota

MAX_CLASSES = 1_000
MAX_TEAMS = 1_000
# The longest time that an agent waits for its endpoint.
MAX_TIMEOUT_MS = 600_000
# Shares written as decimals may sum to slightly more than 1, by rounding.
SHARE_SUM_TOLERANCE = 1e-9

DEFAULT_TIMEOUT_MS = ClassDefinition("", 1).timeout_ms

_CLASS_RULES = {
    "answers_within_ms": IntegerRange(1, MAX_TIMEOUT_MS),
    "quantile": Fraction(exclusive=True),
    "claims_at_least": Fraction(),
    "team": Name(optional=True),
    "repeatable": Boolean(),
    "cores": IntegerRange(0, 100_000),
    "memory_mb": IntegerRange(0, 1_000_000_000),
    "accelerators": IntegerRange(0, 100_000),
    "timeout_ms": IntegerRange(1, MAX_TIMEOUT_MS),
}
_CLASS_REQUIRED = ("answers_within_ms",)
_TEAM_RULES = {"holds_at_most": Fraction()}
_SECTIONS = ("classes", "teams")

_TARGETS_ONLY_TEXT = "operators set targets only: "
_DERIVED_TEXT = f"{_TARGETS_ONLY_TEXT}weights and order are derived from them"
_ANNOUNCED_TEXT = f"{_TARGETS_ONLY_TEXT}endpoints announce themselves"
# Keys that other dispatchers have, each with the reason why it is not supported.
_UNSUPPORTED_KEYS = {
    "weight": _DERIVED_TEXT,
    "weights": _DERIVED_TEXT,
    "priority": _DERIVED_TEXT,
    "address": _ANNOUNCED_TEXT,
    "addresses": _ANNOUNCED_TEXT,
    "endpoint": _ANNOUNCED_TEXT,
    "endpoints": _ANNOUNCED_TEXT,
    "host": _ANNOUNCED_TEXT,
    "hosts": _ANNOUNCED_TEXT,
    "instances": _ANNOUNCED_TEXT,
    "url": _ANNOUNCED_TEXT,
}


@dataclass(frozen=True, slots=True)
class ClassContent:
    """The classes and teams of a valid file, by name."""

    classes: dict[str, ClassDefinition]
    teams: dict[str, TeamQuota]


def read(path) -> Result:
    """Read a class file; return Success(ClassContent) or Failure(Problems)."""
    return read_toml(path, from_tables)


def from_text(text, file="") -> Result:
    """Parse TOML text; return Success(ClassContent) or Failure(Problems).

    ``file`` is the name shown in the problems.
    """
    return parse_toml(text, file, from_tables)


def from_tables(tables) -> Result:
    """Check decoded tables; return Success(ClassContent) or Failure(Problems).

    The Failure holds a tuple of all problems. Problems from tables have no line.
    """
    problems = [
        Problem(name, "", f"unknown table{suggest_name(name, _SECTIONS)}")
        for name in tables
        if name not in _SECTIONS
    ]
    classes = _sub_tables(tables, "classes", MAX_CLASSES, problems)
    teams = _sub_tables(tables, "teams", MAX_TEAMS, problems)
    if not classes and not problems:
        problems.append(Problem("classes", "", "define at least one class"))
    for name, table in classes.items():
        problems += check_table(
            f"classes.{name}", table, _CLASS_RULES, _CLASS_REQUIRED, _UNSUPPORTED_KEYS
        )
    for name, table in teams.items():
        problems += check_table(f"teams.{name}", table, _TEAM_RULES)
    problems += _check_across_keys(classes, teams)
    if problems:
        return Failure(tuple(problems))
    return Success(
        ClassContent(
            {name: ClassDefinition(name, **table) for name, table in classes.items()},
            {name: TeamQuota(name, **table) for name, table in teams.items()},
        )
    )


def _sub_tables(tables, section, max_count, problems):
    """Return the tables of a section by name; append what is wrong to ``problems``."""
    content = tables.get(section, {})
    if not isinstance(content, dict):
        problems.append(Problem(section, format_value(content), "a table of tables"))
        return {}
    if len(content) > max_count:
        problems.append(Problem(section, str(len(content)), f"at most {max_count}"))
        return {}
    sub_tables = {}
    for name, table in content.items():
        key = f"{section}.{name}"
        if not NAME_PATTERN.fullmatch(name):
            problems.append(Problem(key, "", f"a name has {NAME_RULE}"))
        if isinstance(table, dict):
            sub_tables[name] = table
        else:
            problems.append(Problem(key, format_value(table), "a table"))
    return sub_tables


def _check_across_keys(classes, teams):
    """Return the problems that involve more than one key."""
    problems = []
    shares = [table.get("claims_at_least", 0) for table in classes.values()]
    total = sum(share for share in shares if isinstance(share, int | float))
    if total > 1 + SHARE_SUM_TOLERANCE:
        allowed = "the claims of all classes sum to 1 at most"
        problems.append(Problem("classes.*.claims_at_least", f"{total:.4g}", allowed))
    for name, table in classes.items():
        problems += _check_team_reference(name, table, teams)
        problems += _check_timeout(name, table)
    return problems


def _check_team_reference(name, table, teams):
    team = table.get("team", "")
    if not isinstance(team, str) or not team or team in teams:
        return
    allowed = (
        f"a team of this file; [teams.{team}] is missing{suggest_name(team, teams)}"
    )
    yield Problem(f"classes.{name}.team", format_value(team), allowed)


def _check_timeout(name, table):
    target_ms = table.get("answers_within_ms")
    timeout_ms = table.get("timeout_ms", DEFAULT_TIMEOUT_MS)
    if not isinstance(target_ms, int) or not isinstance(timeout_ms, int):
        return
    if 0 < timeout_ms < target_ms:
        allowed = f"not below answers_within_ms ({target_ms})"
        default = "" if "timeout_ms" in table else "; this is the default"
        key = f"classes.{name}.timeout_ms"
        yield Problem(key, format_value(timeout_ms), allowed + default)
