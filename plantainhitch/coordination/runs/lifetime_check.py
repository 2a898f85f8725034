"""Confirms by the endpoint's own answer that a new lifetime of it has begun.

A heartbeat says which endpoint sent it, but anybody may have written it, and it may be
late. An endpoint answers only calls that name its own id, and says when its lifetime
began.
"""

import asyncio
from dataclasses import dataclass

from ... import logs
from ...state.endpoints import EndpointReport, Inventory, Rejected, Rejection
from ..background import spawn

RETRY_DELAY_MS = 50
# An endpoint that has not answered for this long is asked again after its next
# heartbeat.
CHECK_TIMEOUT_MS = 3_000
# The most lifetimes that are asked for at a time; the oldest check gives way.
MAX_CHECKS = 8

log = logs.get_logger("lifetimes")


@dataclass(frozen=True, slots=True)
class LifetimeConfirmed:
    """The endpoint has answered as the lifetime of ``report``.

    ``client`` is the ``EndpointClient`` that it has answered, to be closed by whoever
    takes this.
    """

    report: EndpointReport
    client: object


@dataclass(frozen=True, slots=True)
class FenceRejected:
    """The endpoint has rejected an order as it has seen a higher fence."""

    fence: int


class LifetimeCheck:
    """The lifetimes that heartbeats have named and that have not answered yet.

    ``connect_endpoint(lifetime)`` returns an ``EndpointClient``, ``fence()`` the
    present fence. ``post(event)`` takes a ``LifetimeConfirmed`` or ``FenceRejected``.
    """

    def __init__(self, clock, connect_endpoint, fence, post):
        self._clock = clock
        self._connect_endpoint = connect_endpoint
        self._fence = fence
        self._post = post
        self._events = logs.EventLog(log, clock)
        # By lifetime, oldest first: the newest report and the task that checks it.
        self._reports = {}
        self._checks = {}
        self._tasks = set()

    def begin(self, report):
        """Check the lifetime of an ``EndpointReport``, unless that is under way."""
        self._events.flush_if_due()
        known = self._reports.get(report.lifetime)
        if known is None or known.sequence <= report.sequence:
            self._reports[report.lifetime] = report
        if report.lifetime in self._checks:
            return
        while len(self._checks) >= MAX_CHECKS:
            oldest = next(iter(self._checks))
            self._checks[oldest].cancel()
            self._discard(oldest)
        self._checks[report.lifetime] = spawn(self._check(report), self._tasks)

    def close(self):
        """Stop all checks."""
        for task in list(self._tasks):
            task.cancel()

    async def _check(self, report):
        lifetime = report.lifetime
        client = self._connect_endpoint(lifetime)
        is_confirmed = False
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_MS / 1_000):
                is_confirmed = await self._ask(report, client)
        except TimeoutError:
            self._events.write("endpoint not confirmed", **_fields(report))
        finally:
            if is_confirmed:
                self._post(LifetimeConfirmed(self._reports[lifetime], client))
            else:
                client.close()
            if self._checks.get(lifetime) is asyncio.current_task():
                self._discard(lifetime)

    async def _ask(self, report, client):
        """Ask until the endpoint answers; return whether it is this lifetime."""
        while True:
            fence = self._fence()
            match await client.inventory(fence, 0, None, 0):
                case Inventory(born_ms=born_ms):
                    if born_ms != report.born_ms:
                        self._log_denial(report, answered_born_ms=born_ms)
                    return born_ms == report.born_ms
                case Rejected(Rejection.OTHER_LIFETIME, born_ms=born_ms):
                    self._log_denial(report, answered_born_ms=born_ms or None)
                    return False
                case Rejected(Rejection.FENCE):
                    self._post(FenceRejected(fence))
            await self._clock.sleep_ms(RETRY_DELAY_MS)

    def _log_denial(self, report, **fields):
        self._events.write(
            "heartbeat of another endpoint ignored", **_fields(report), **fields
        )

    def _discard(self, lifetime):
        del self._checks[lifetime], self._reports[lifetime]


def _fields(report):
    return {"endpoint": report.endpoint_id, "born_ms": report.born_ms}
