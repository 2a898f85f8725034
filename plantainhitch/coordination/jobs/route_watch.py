"""Follows the operator's configuration in the platform's store."""

from returns.result import Failure, Success

from ... import logs
from ..backoff import Backoff

# How long the store may hold a call for changes. It bounds how late a change is
# seen where the store drops its history and tells nobody.
FEED_WAIT_MS = 700
# The whole row is read again this often, since a feed may fall silent.
REREAD_MS = 1_000
FIRST_RETRY_MS = 50
MAX_RETRY_MS = 400

log = logs.get_logger("routes")


class RouteWatch:
    """The newest ``RouteTable``; versions only rise.

    ``read()`` returns Success(RouteTable or None), ``wait(revision, wait_ms)``
    Success(Changes); both or a Failure. ``on_change(table)`` is called for each
    newer version.
    """

    def __init__(self, clock, source, on_change):
        self._clock = clock
        self._source = source
        self._on_change = on_change
        self._table = None
        self._read_ms = 0
        self._is_reachable = True

    @property
    def table(self):
        """The newest table, or None before the first."""
        return self._table

    def take(self, table):
        """Take in a table from anywhere; an older one changes nothing."""
        if self._table is not None and table.version <= self._table.version:
            return
        self._table = table
        log.info("configuration", version=table.version, routes=len(table.routes))
        self._on_change(table)

    async def run(self):
        """Follow the store for ever."""
        backoff = Backoff(first_delay_ms=FIRST_RETRY_MS, max_delay_ms=MAX_RETRY_MS)
        while True:
            if await self._follow():
                backoff.reset()
            else:
                await self._clock.sleep_ms(backoff.next_delay_ms())

    async def _follow(self):
        """Read the row, then wait for changes until it is due to be read again."""
        match await self._source.read():
            case Success((revision, table)):
                self._note_reachable()
                if table is not None:
                    self.take(table)
            case Failure(fault):
                return self._note_fault(fault)
        reread_ms = self._clock.now_ms() + REREAD_MS
        while (left_ms := reread_ms - self._clock.now_ms()) > 0:
            match await self._source.wait(revision, min(FEED_WAIT_MS, left_ms)):
                case Success((revision, table)):
                    if table is not None:
                        self.take(table)
                case Failure(fault):
                    return self._note_fault(fault)
        return True

    def _note_reachable(self):
        if not self._is_reachable:
            log.notice("store regained", away_ms=self._clock.now_ms() - self._read_ms)
        self._is_reachable = True
        self._read_ms = self._clock.now_ms()

    def _note_fault(self, fault):
        if self._is_reachable:
            log.warning("store lost", kind=fault.kind, why=fault.detail)
        self._is_reachable = False
        return False
