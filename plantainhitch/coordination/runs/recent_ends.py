"""The ends of an agent's runs, for owners that ask for them again.

An end that the endpoint has not listed rests on a bound: of its lease, its clock or the
time in which it stops a run. If it lists the run as running afterwards, the bound did
not hold, and the run may have been at work beside the next one of its task.
"""

from collections import OrderedDict
from dataclasses import dataclass

from ...protocol import messages as m

# The number of ends that are kept.
MAX_KEPT_ENDS = 2_000


@dataclass(slots=True)
class _RecentEnd:
    """An end, when it was decided, and the endpoint's newest inventory by then.

    ``listing`` is the pair of the lifetime that gave the inventory and its clock.
    """

    run_end: m.RunEnd
    decided_ms: int
    listing: tuple
    is_late: bool = False


class RecentEnds:
    """The last ``max_ends`` ends by the key of their runs.

    ``run_log`` is the ``RunLog``.
    """

    def __init__(self, clock, run_log, max_ends=MAX_KEPT_ENDS):
        self._clock = clock
        self._run_log = run_log
        self._max_ends = max_ends
        self._ends = OrderedDict()
        # The lifetime and the clock of the newest inventory.
        self._listing = None, 0
        self._late_count = 0

    def __contains__(self, key):
        return key in self._ends

    @property
    def late_count(self):
        """The number of runs that were listed as running after their end."""
        return self._late_count

    def get(self, key):
        """Return the ``RunEnd`` of a run, None if it isn't kept."""
        recent = self._ends.get(key)
        return None if recent is None else recent.run_end

    def add(self, run_end):
        """Add a ``RunEnd`` that is decided now."""
        self._ends[run_end.key] = _RecentEnd(
            run_end, self._clock.now_ms(), self._listing
        )
        while len(self._ends) > self._max_ends:
            self._ends.popitem(last=False)

    def record_inventory(self, lifetime, clock_ms):
        """Record an inventory, before its ends; answers may overtake each other."""
        if lifetime != self._listing[0] or clock_ms > self._listing[1]:
            self._listing = lifetime, clock_ms

    def check_running(self, lifetime, clock_ms, keys):
        """Warn of runs that an inventory lists as running after their end.

        It must have been requested after the endpoint was last lost.
        """
        for key in keys:
            recent = self._ends.get(key)
            if recent is None or recent.is_late:
                continue
            listed_lifetime, listed_clock_ms = recent.listing
            if lifetime != listed_lifetime or clock_ms > listed_clock_ms:
                recent.is_late = True
                self._late_count += 1
                late_ms = self._clock.now_ms() - recent.decided_ms
                self._run_log.at_work_after_end(recent.run_end, late_ms)
