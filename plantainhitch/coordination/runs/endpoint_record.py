"""The stored record of the endpoint on an agent's machine.

Endpoints send a heartbeat every one or two seconds. A restarted agent reads the last
known lifetime of its endpoint from the store and need not wait for the next heartbeat.
The inventory then shows whether that lifetime still exists.
"""

import asyncio
from dataclasses import replace

import msgspec
from returns.result import Failure, Success

from ... import logs
from ...state.endpoints import EndpointReport
from ...transport.platform import Write
from ..backoff import Backoff

TABLE_ENDPOINTS = "endpoints"
FIRST_RETRY_MS = 200
MAX_RETRY_MS = 3_000

log = logs.get_logger("endpoint-memory")


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
        report = msgspec.json.decode(value, type=EndpointReport)
    except msgspec.DecodeError as error:
        log.warning("unreadable endpoint record", why=str(error))
        return None
    # The age of the record is not known, and most endpoints are warm.
    return replace(report, cold_for_ms=0)
