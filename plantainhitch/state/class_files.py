"""Class files: operators' TOML with the classes of work and the teams' quotas.

Every error of a file is found in one pass. The same checks serve the JSON of
``PUT /v1/classes``.
"""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from ..validation import (
    NAME_PATTERN,
    NAME_RULE,
    Flag,
    Fraction,
    Name,
    Problem,
    Whole,
    check_table,
    nearest,
    parse_toml,
    read_toml,
    shown,
)
from .classes import ClassDefinition, TeamQuota

MAX_CLASSES = 1_000
MAX_TEAMS = 1_000
# An agent waits no longer than this for its endpoint.
MAX_TIMEOUT_MS = 600_000
# Sums of shares written as decimals may miss 1 by rounding.
SHARE_ROUNDING = 1e-9

DEFAULT_TIMEOUT_MS = ClassDefinition("", 1).timeout_ms

_CLASS_RULES = {
    "answers_within_ms": Whole(1, MAX_TIMEOUT_MS),
    "quantile": Fraction(open_ends=True),
    "claims_at_least": Fraction(),
    "team": Name(optional=True),
    "repeatable": Flag(),
    "cores": Whole(0, 100_000),
    "memory_mb": Whole(0, 1_000_000_000),
    "accelerators": Whole(0, 100_000),
    "timeout_ms": Whole(1, MAX_TIMEOUT_MS),
}
_CLASS_REQUIRED = ("answers_within_ms",)
_TEAM_RULES = {"holds_at_most": Fraction()}
_SECTIONS = ("classes", "teams")

_TARGETS_ONLY = "operators set targets only: "
_DERIVED = f"{_TARGETS_ONLY}weights and order are derived from them"
_ANNOUNCED = f"{_TARGETS_ONLY}endpoints announce themselves"
# Keys that operators of other dispatchers may look for.
_NOT_SET_HERE = {
    "weight": _DERIVED,
    "weights": _DERIVED,
    "priority": _DERIVED,
    "address": _ANNOUNCED,
    "addresses": _ANNOUNCED,
    "endpoint": _ANNOUNCED,
    "endpoints": _ANNOUNCED,
    "host": _ANNOUNCED,
    "hosts": _ANNOUNCED,
    "instances": _ANNOUNCED,
    "url": _ANNOUNCED,
}


@dataclass(frozen=True, slots=True)
class ClassContent:
    """The classes and teams of a valid file, by name."""

    classes: dict[str, ClassDefinition]
    teams: dict[str, TeamQuota]


def read(path) -> Result:
    """Return Success(ClassContent) or Failure(all Problems) of the file."""
    return read_toml(path, from_tables)


def from_text(text, file="") -> Result:
    """Return Success(ClassContent) or Failure(all Problems) of TOML text."""
    return parse_toml(text, file, from_tables)


def from_tables(tables) -> Result:
    """Return Success(ClassContent) or Failure(all Problems) of decoded tables."""
    problems = [
        Problem(name, "", f"unknown table{nearest(name, _SECTIONS)}")
        for name in tables
        if name not in _SECTIONS
    ]
    classes = _sub_tables(tables, "classes", MAX_CLASSES, problems)
    teams = _sub_tables(tables, "teams", MAX_TEAMS, problems)
    if not classes and not problems:
        problems.append(Problem("classes", "", "define at least one class"))
    for name, table in classes.items():
        problems += check_table(
            f"classes.{name}", table, _CLASS_RULES, _CLASS_REQUIRED, _NOT_SET_HERE
        )
    for name, table in teams.items():
        problems += check_table(f"teams.{name}", table, _TEAM_RULES)
    problems += _check_together(classes, teams)
    if problems:
        return Failure(tuple(problems))
    return Success(
        ClassContent(
            {name: ClassDefinition(name, **table) for name, table in classes.items()},
            {name: TeamQuota(name, **table) for name, table in teams.items()},
        )
    )


def _sub_tables(tables, section, most, problems):
    """Return the section's entries that are tables; note what is wrong."""
    content = tables.get(section, {})
    if not isinstance(content, dict):
        problems.append(Problem(section, shown(content), "a table of tables"))
        return {}
    if len(content) > most:
        problems.append(Problem(section, str(len(content)), f"at most {most}"))
        return {}
    found = {}
    for name, table in content.items():
        key = f"{section}.{name}"
        if not NAME_PATTERN.fullmatch(name):
            problems.append(Problem(key, "", f"a name has {NAME_RULE}"))
        if isinstance(table, dict):
            found[name] = table
        else:
            problems.append(Problem(key, shown(table), "a table"))
    return found


def _check_together(classes, teams):
    """Return the problems that show only across keys."""
    problems = []
    shares = [table.get("claims_at_least", 0) for table in classes.values()]
    total = sum(share for share in shares if isinstance(share, int | float))
    if total > 1 + SHARE_ROUNDING:
        allowed = "the claims of all classes sum to 1 at most"
        problems.append(Problem("classes.*.claims_at_least", f"{total:.4g}", allowed))
    for name, table in classes.items():
        problems += _check_team(name, table, teams)
        problems += _check_times(name, table)
    return problems


def _check_team(name, table, teams):
    team = table.get("team", "")
    if not isinstance(team, str) or not team or team in teams:
        return
    allowed = f"a team of this file; [teams.{team}] is missing{nearest(team, teams)}"
    yield Problem(f"classes.{name}.team", shown(team), allowed)


def _check_times(name, table):
    target_ms = table.get("answers_within_ms")
    timeout_ms = table.get("timeout_ms", DEFAULT_TIMEOUT_MS)
    if not isinstance(target_ms, int) or not isinstance(timeout_ms, int):
        return
    if 0 < timeout_ms < target_ms:
        allowed = f"not below answers_within_ms ({target_ms})"
        default = "" if "timeout_ms" in table else "; this is the default"
        key = f"classes.{name}.timeout_ms"
        yield Problem(key, shown(timeout_ms), allowed + default)
