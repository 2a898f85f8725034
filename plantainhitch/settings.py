"""Settings of a process, from a TOML file."""

import tomllib
from dataclasses import dataclass
from pathlib import Path

import msgspec

from .transport.addresses import Address


class ProcessTable(msgspec.Struct, forbid_unknown_fields=True):
    """Who and where the process is."""

    name: str
    zone: str
    region: str = "local"
    rack: str = ""


class ListenTable(msgspec.Struct, forbid_unknown_fields=True):
    """Addresses that the process listens at, ``IP:port``."""

    http: str
    link: str
    # What other processes connect to, where it differs from ``link``.
    advertise_link: str = ""


class PlatformTable(msgspec.Struct, forbid_unknown_fields=True):
    """Where the platform's services are."""

    address: str
    timeout_ms: int = 2_000


class LogTable(msgspec.Struct, forbid_unknown_fields=True):
    """Logging: ``level`` is a logbook level in lower case."""

    level: str = "info"


class TraceTable(msgspec.Struct, forbid_unknown_fields=True):
    """Traces: ``collector`` is an OTLP/HTTP address; empty turns them off."""

    collector: str = ""


class SettingsFile(msgspec.Struct, forbid_unknown_fields=True):
    """The whole settings file."""

    process: ProcessTable
    listen: ListenTable
    platform: PlatformTable
    log: LogTable = msgspec.field(default_factory=LogTable)
    traces: TraceTable = msgspec.field(default_factory=TraceTable)


@dataclass(frozen=True, slots=True)
class Settings:
    """Checked settings of an entry or an agent."""

    name: str
    zone: str
    region: str
    rack: str
    http: Address
    link: Address
    advertise_link: Address | None
    platform: Address
    platform_timeout_ms: int
    log_level: str
    collector: str

    @classmethod
    def from_file(cls, path):
        """Return the settings in ``path``; raise ValueError where they are bad."""
        data = tomllib.loads(Path(path).read_text())
        return cls.from_model(msgspec.convert(data, SettingsFile))

    @classmethod
    def from_model(cls, model):
        """Return the settings of a validated ``SettingsFile``."""
        advertised = model.listen.advertise_link
        return cls(
            name=model.process.name,
            zone=model.process.zone,
            region=model.process.region,
            rack=model.process.rack,
            http=Address.from_text(model.listen.http),
            link=Address.from_text(model.listen.link),
            advertise_link=Address.from_text(advertised) if advertised else None,
            platform=Address.from_text(model.platform.address),
            platform_timeout_ms=model.platform.timeout_ms,
            log_level=model.log.level,
            collector=model.traces.collector,
        )
