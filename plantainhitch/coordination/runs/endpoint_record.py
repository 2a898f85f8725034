"""The stored record of the endpoint on an agent's machine.

Endpoints send a heartbeat every one or two seconds. A restarted agent reads the last
known lifetime of its endpoint from the store and need not wait for the next heartbeat.
The inventory then shows whether that lifetime still exists.
"""

import asyncio
from dataclasses import replace
from typing import Annotated

import msgspec
from returns.result import Failure, Success

from ... import logs
from ...json_input import decode_json
from ...state.endpoints import EndpointReport, is_endpoint_id
from ...state.jobs import Room
from ...transport.platform import Write
from ..backoff import Backoff

TABLE_ENDPOINTS = "endpoints"
FIRST_RETRY_MS = 200
MAX_RETRY_MS = 3_000

log = logs.get_logger("endpoint-memory")

_Amount = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
_Ms = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _RoomModel(msgspec.Struct):
    cpu_millis: _Amount
    memory_mb: _Amount
    gpus: _Amount


class _RecordModel(msgspec.Struct):
    """The value of a row: the fields of an ``EndpointReport``."""

    endpoint_id: str
    born_ms: _Ms
    sequence: _Amount
    pool: str
    draining: bool
    capacity: _RoomModel
    kind: str = ""
    rack: str = ""
    labels: tuple[str, ...] = ()
    remaining_ms: _Ms | None = None
    clock_ms: _Ms = 0
    cold_for_ms: _Ms = 0

    def to_report(self):
        """Return the ``EndpointReport``; raise ValueError for an odd id."""
        if not is_endpoint_id(self.endpoint_id):
            raise ValueError(f"not an endpoint id: {self.endpoint_id[:200]!r}")
        fields = msgspec.structs.asdict(self)
        capacity = Room(**msgspec.structs.asdict(self.capacity))
        return EndpointReport(**fields | {"capacity": capacity})


class EndpointRecord:
    """The row of one machine, with the newest ``EndpointReport`` of its endpoint.

    It is written when the lifetime, the capacity or the draining state changes.
    """

    def __init__(self, platform, clock, machine):
        self._platform = platform
        self._clock = clock
        self._machine = machine
        self._newest = None
        self._wake = asyncio.Event()

    def update(self, report):
        """Schedule a write of a report if a significant field has changed."""
        if self._newest is None or _significant_fields(report) != _significant_fields(
            self._newest
        ):
            self._newest = report
            self._wake.set()

    async def load(self):
        """Return the stored report, or None if it is absent or can't be read."""
        match await self._platform.read(TABLE_ENDPOINTS, self._machine):
            case Success(None):
                return None
            case Success(row):
                return _decode(row.value)
            case Failure(fault):
                log.warning(
                    "endpoint record not read", kind=fault.kind, why=fault.detail
                )
                return None

    async def run(self):
        """Write scheduled reports until cancelled; failed writes are retried."""
        backoff = Backoff(first_delay_ms=FIRST_RETRY_MS, max_delay_ms=MAX_RETRY_MS)
        while True:
            await self._wake.wait()
            self._wake.clear()
            write = Write(self._machine, msgspec.json.encode(self._newest))
            match await self._platform.write(TABLE_ENDPOINTS, [write]):
                case Success(_):
                    backoff.reset()
                case Failure(fault):
                    log.debug("endpoint record not written", kind=fault.kind)
                    await self._clock.sleep_ms(backoff.next_delay_ms())
                    self._wake.set()


def _significant_fields(report):
    """Return the fields of a report whose change causes a write."""
    return report.endpoint_id, report.born_ms, report.draining, report.capacity


def _decode(value):
    if value is None:
        return None
    try:
        report = decode_json(value, _RecordModel).to_report()
    except ValueError as error:
        log.warning("unreadable endpoint record", why=str(error))
        return None
    # The age of the record is not known, and most endpoints are warm.
    return replace(report, cold_for_ms=0)
