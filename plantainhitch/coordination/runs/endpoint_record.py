"""What the store remembers of the endpoint beside an agent.

Endpoints report every second or two. An agent that was restarted takes up the last
lifetime at once, from the row of its machine, and need not wait for the next report;
whether that lifetime still runs is proved by its inventory.
"""

import asyncio

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
    """The row of one machine: the newest ``EndpointReport`` of a lifetime or state."""

    def __init__(self, platform, clock, machine):
        self._platform = platform
        self._clock = clock
        self._machine = machine
        self._newest = None
        self._wake = asyncio.Event()

    def update(self, report):
        """Have a report written where it says something new."""
        if self._newest is None or _gist(report) != _gist(self._newest):
            self._newest = report
            self._wake.set()

    async def load(self):
        """Return the remembered report, or None where there is none to be had."""
        match await self._platform.read(TABLE_ENDPOINTS, self._machine):
            case Success(None):
                return None
            case Success(row):
                return _decode(row.value)
            case Failure(fault):
                log.warning("endpoint not recalled", kind=fault.kind, why=fault.detail)
                return None

    async def run(self):
        """Write what is noted, for ever."""
        backoff = Backoff(first_delay_ms=FIRST_RETRY_MS, max_delay_ms=MAX_RETRY_MS)
        while True:
            await self._wake.wait()
            self._wake.clear()
            write = Write(self._machine, msgspec.json.encode(self._newest))
            match await self._platform.write(TABLE_ENDPOINTS, [write]):
                case Success(_):
                    backoff.reset()
                case Failure(fault):
                    log.debug("endpoint not written", kind=fault.kind)
                    await self._clock.sleep_ms(backoff.next_delay_ms())
                    self._wake.set()


def _gist(report):
    """Return what makes a report worth writing."""
    return report.endpoint_id, report.born_ms, report.draining, report.capacity


def _decode(value):
    if value is None:
        return None
    try:
        return msgspec.json.decode(value, type=EndpointReport)
    except msgspec.DecodeError as error:
        log.warning("unreadable row of an endpoint", why=str(error))
        return None
