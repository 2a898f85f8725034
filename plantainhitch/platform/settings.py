"""Reads the settings file that the platform places on each machine."""

import os
import tomllib
from dataclasses import replace
from pathlib import Path

import msgspec

from ..deployment import Bounds, Deployment
from ..settings import SettingsError
from ..transport.addresses import Address
from ..validation import Problem

SETTINGS_VARIABLE = "PLANTAINHITCH_CONFIG"
# The protocols of the platform's other control modes are not documented.
SUPPORTED_CONTROL_MODE = "invoke"


class _Listen(msgspec.Struct):
    front: str = ""  # where callers submit jobs
    readiness: str = ""
    control: str = ""  # where the endpoint of this machine sends its heartbeats


class _Limits(msgspec.Struct):
    memory_mb: int = 0


class _Bounds(msgspec.Struct):
    drain_ms: int
    hold_max_ms: int  # the longest lease that an endpoint grants
    stop_timeout_ms: int
    retransmit_ms: int  # delay before callers resubmit after a lost answer
    grace_s: float
    config_apply_ms: int
    remote_factor: float = 1.0  # multiple of the run time away from the data
    # The most runs at a cold endpoint: a number, and a multiple of its warm part.
    cold_slack: int | None = None
    cold_overshoot: float | None = None


class _Platform(msgspec.Struct):
    addr: str


class _Settings(msgspec.Struct):
    node: str
    zone: str
    region: str
    ip: str
    port_range: tuple[int, int]
    bounds: _Bounds
    platform: _Platform
    heartbeat_ms: int
    listen: _Listen
    seeds: list[str] = []
    control_mode: str = SUPPORTED_CONTROL_MODE
    app: str = ""  # the endpoint of this machine
    service: str = ""  # the pool that the endpoint belongs to


def load(path=None):
    """Return the ``Deployment`` in the settings file.

    ``path`` defaults to the environment variable ``SETTINGS_VARIABLE``. Raises
    SettingsError if the file is absent or invalid.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        allowed = "not set; give the path of the settings file"
        raise SettingsError((Problem(SETTINGS_VARIABLE, "", allowed),))
    try:
        tables = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError((Problem("file", "", str(error), path),)) from error
    problems = [
        replace(problem, file=path) for problem in _missing_keys(_Settings, tables)
    ]
    if problems:
        raise SettingsError(tuple(problems))
    try:
        return _to_deployment(msgspec.convert(tables, _Settings))
    except (msgspec.ValidationError, ValueError) as error:
        raise SettingsError((Problem("settings", "", str(error), path),)) from error


def _missing_keys(model, table, prefix=""):
    """Yield a ``Problem`` for each required key that is missing from the table."""
    for field in msgspec.structs.fields(model):
        key = prefix + field.name
        if field.name not in table:
            if field.required:
                yield Problem(key, "", "missing")
        elif _is_struct_type(field.type) and isinstance(table[field.name], dict):
            yield from _missing_keys(field.type, table[field.name], f"{key}.")


def _is_struct_type(kind):
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _to_deployment(settings):
    if settings.control_mode != SUPPORTED_CONTROL_MODE:
        raise ValueError(f"control_mode: {settings.control_mode!r} is not supported")
    listen = settings.listen
    return Deployment(
        name=settings.node,
        zone=settings.zone,
        region=settings.region,
        pool=settings.service,
        link=Address(settings.ip, settings.port_range[0]),
        metrics=Address(settings.ip, settings.port_range[0] + 1),
        front=_address(listen.front),
        readiness=_address(listen.readiness),
        heartbeats=_address(listen.control),
        endpoint=_address(settings.app),
        store=Address.from_text(settings.platform.addr),
        seeds=tuple(Address.from_text(seed).host for seed in settings.seeds),
        bounds=Bounds(
            drain_ms=settings.bounds.drain_ms,
            lease_ms=settings.bounds.hold_max_ms,
            stop_ms=settings.bounds.stop_timeout_ms,
            resubmit_ms=settings.bounds.retransmit_ms,
            shutdown_ms=int(settings.bounds.grace_s * 1_000),
            configuration_ms=settings.bounds.config_apply_ms,
            remote_factor=settings.bounds.remote_factor,
            cold_slack=settings.bounds.cold_slack,
            cold_overshoot=settings.bounds.cold_overshoot,
        ),
    )


def _address(text):
    return Address.from_text(text) if text else None
