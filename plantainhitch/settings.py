"""Settings of a process, read from a TOML file and validated before use."""

from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from .logs import LEVELS
from .transport.addresses import Address
from .validation import (
    Choice,
    IntegerRange,
    Name,
    Problem,
    SocketAddress,
    Url,
    check_table,
    format_value,
    read_toml,
    suggest_name,
)

MEBIBYTE = 1024 * 1024
HOUR_MS = 60 * 60 * 1_000

_RULES = {
    "process": {
        "name": Name(),
        "zone": Name(),
        "region": Name(),
        "rack": Name(optional=True),
    },
    "listen": {
        "http": SocketAddress(any_port=True),
        "link": SocketAddress(any_port=True),
        "advertise_link": SocketAddress(optional=True),
    },
    "platform": {
        "address": SocketAddress(),
        "timeout_ms": IntegerRange(1, 60_000),
    },
    "log": {"level": Choice(LEVELS)},
    "traces": {"collector": Url()},
    "limits": {
        "body_bytes": IntegerRange(1_024, 64 * MEBIBYTE),
        "held_body_bytes": IntegerRange(1_024, 1_024 * MEBIBYTE),
        "queued_tasks": IntegerRange(1, 10_000_000),
        "retention_ms": IntegerRange(1_000, 24 * HOUR_MS),
        "drain_ms": IntegerRange(0, HOUR_MS),
    },
}
_REQUIRED = {
    "process": ("name", "zone"),
    "listen": ("http", "link"),
    "platform": ("address",),
}


class SettingsError(ValueError):
    """A settings file is invalid; ``problems`` has all of its errors."""

    def __init__(self, problems):
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a process accepts and keeps.

    ``body_bytes`` is the largest request body; ``held_body_bytes`` the most bytes in
    bodies of all requests in progress; ``queued_tasks`` the most tasks of a class that
    wait at an entry; ``retention_ms`` how long answers are kept; ``drain_ms`` how long
    a shutdown waits for requests in flight.
    """

    body_bytes: int = 8 * MEBIBYTE
    held_body_bytes: int = 64 * MEBIBYTE
    queued_tasks: int = 100_000
    retention_ms: int = 600_000
    # Longer than the usual timeout of a task, so that a drain cuts none off.
    drain_ms: int = 75_000


@dataclass(frozen=True, slots=True)
class Settings:
    """Valid settings of an entry or an agent."""

    name: str
    zone: str
    http: Address
    link: Address
    platform: Address
    region: str = "local"
    rack: str = ""
    # The address that other processes connect to, if it differs from ``link``.
    advertise_link: Address | None = None
    # Longer than the 2 s that a call takes while the store is slow.
    platform_timeout_ms: int = 5_000
    log_level: str = "info"
    # The address of an OTLP/HTTP collector; no traces are exported if empty.
    collector: str = ""
    limits: Limits = field(default_factory=Limits)

    @classmethod
    def from_file(cls, path):
        """Return the settings in ``path``; raise SettingsError if they are invalid."""
        result = cls.read(path)
        if isinstance(result, Failure):
            raise SettingsError(result.failure())
        return result.unwrap()

    @classmethod
    def read(cls, path) -> Result:
        """Return Success(Settings), or Failure with a tuple of all problems."""
        return read_toml(path, cls.from_tables)

    @classmethod
    def from_tables(cls, tables) -> Result:
        """Like ``read``, for the decoded tables of a file."""
        problems = list(_check(tables))
        if problems:
            return Failure(tuple(problems))
        process = tables["process"]
        listen = tables["listen"]
        platform = dict(tables["platform"])
        advertised = listen.get("advertise_link")
        optional = {
            "platform_timeout_ms": platform.get("timeout_ms"),
            "log_level": tables.get("log", {}).get("level"),
            "collector": tables.get("traces", {}).get("collector"),
            "advertise_link": Address.from_text(advertised) if advertised else None,
        }
        given = {name: value for name, value in optional.items() if value is not None}
        return Success(
            cls(
                **process,
                **given,
                http=Address.from_text(listen["http"]),
                link=Address.from_text(listen["link"]),
                platform=Address.from_text(platform["address"]),
                limits=Limits(**tables.get("limits", {})),
            )
        )


def _check(tables):
    for name in tables:
        if name not in _RULES:
            allowed = f"unknown table; one of {', '.join(_RULES)}"
            yield Problem(name, "", allowed + suggest_name(name, _RULES))
    for name, rules in _RULES.items():
        table = tables.get(name, {})
        if isinstance(table, dict):
            yield from check_table(name, table, rules, _REQUIRED.get(name, ()))
        else:
            yield Problem(name, format_value(table), f"a table: [{name}]")
    yield from _check_body_limits(tables.get("limits", {}))


def _check_body_limits(limits):
    if not isinstance(limits, dict):
        return
    default = Limits()
    body_bytes = limits.get("body_bytes", default.body_bytes)
    held_bytes = limits.get("held_body_bytes", default.held_body_bytes)
    if (
        isinstance(body_bytes, int)
        and isinstance(held_bytes, int)
        and held_bytes < body_bytes
    ):
        allowed = f"not below body_bytes ({body_bytes})"
        yield Problem("limits.held_body_bytes", format_value(held_bytes), allowed)
