"""Watches the operator's configuration in the platform's store."""

from returns.result import Failure, Success

from ... import logs
from ..backoff import Backoff

# How long the store may hold a call for changes. It bounds the delay of a change when
# the store drops its change history without notice.
LONG_POLL_MS = 700
# Interval at which the whole row is read again, as the changes may silently stop.
REREAD_INTERVAL_MS = 1_000
FIRST_RETRY_MS = 50
MAX_RETRY_MS = 400

log = logs.get_logger("routes")


class RouteWatch:
    """The newest ``RouteTable``, from the store or from peers; versions only rise.

    ``source.read()`` and ``source.wait(revision, wait_ms)`` return
    Success((revision, RouteTable or None)) or a Failure. ``on_change(table)`` is called
    for each newer version.
    """

    def __init__(self, clock, source, on_change):
        self._clock = clock
        self._source = source
        self._on_change = on_change
        self._table = None
        self._last_answer_ms = clock.now_ms()
        self._is_store_reachable = True

    @property
    def table(self):
        """The newest table, None before the first."""
        return self._table

    def apply(self, table):
        """Put a table into force, unless one as new is in force already."""
        if self._table is not None and table.version <= self._table.version:
            return
        self._table = table
        log.info("configuration", version=table.version, routes=len(table.routes))
        self._on_change(table)

    async def run(self):
        """Watch the store until cancelled."""
        backoff = Backoff(first_delay_ms=FIRST_RETRY_MS, max_delay_ms=MAX_RETRY_MS)
        while True:
            if await self._watch_until_reread():
                backoff.reset()
            else:
                await self._clock.sleep_ms(backoff.next_delay_ms())

    async def _watch_until_reread(self):
        """Read the row, then wait for changes until it is due to be read again.

        Return whether the store answered all calls.
        """
        match await self._source.read():
            case Success((revision, table)):
                self._record_answer()
                if table is not None:
                    self.apply(table)
            case Failure(fault):
                return self._record_fault(fault)
        reread_at_ms = self._clock.now_ms() + REREAD_INTERVAL_MS
        while (remaining_ms := reread_at_ms - self._clock.now_ms()) > 0:
            match await self._source.wait(revision, min(LONG_POLL_MS, remaining_ms)):
                case Success((revision, table)):
                    self._record_answer()
                    if table is not None:
                        self.apply(table)
                case Failure(fault):
                    return self._record_fault(fault)
        return True

    def _record_answer(self):
        if not self._is_store_reachable:
            log.notice(
                "store reachable again",
                away_ms=self._clock.now_ms() - self._last_answer_ms,
            )
        self._is_store_reachable = True
        self._last_answer_ms = self._clock.now_ms()

    def _record_fault(self, fault):
        if self._is_store_reachable:
            log.warning("store unreachable", kind=fault.kind, why=fault.detail)
        self._is_store_reachable = False
        return False
