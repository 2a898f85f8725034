"""Which availability zones are evacuated, as known to one process; without sockets.

Entries and agents use the same class. Where they get the sets from is decided by their
nodes.
"""

from .. import logs
from ..state.evacuations import EvacuatedZones

# Why an agent refuses starts.
ZONE_EVACUATED_REASON = "availability zone evacuated"
# Why an entry refuses jobs.
ALL_EVACUATED_REASON = "every availability zone with endpoints is evacuated"
UNKNOWN_REASON = "it is not known yet which availability zones are evacuated"

log = logs.get_logger("evacuation")


class EvacuationState:
    """The newest ``EvacuatedZones`` that a process knows.

    ``initial`` is the set to begin with. Without it nothing is known, and no zone is
    covered.
    """

    def __init__(self, clock, initial=None):
        self._clock = clock
        self._current = initial
        # When a set was last received, also one that was not newer.
        self._heard_ms = None

    @property
    def current(self):
        """The ``EvacuatedZones`` in force, None before the first."""
        return self._current

    @property
    def is_known(self):
        """Whether a set has been received."""
        return self._current is not None

    @property
    def zones(self):
        """The evacuated zones as a frozenset, empty before the first set."""
        return self._current.zones if self._current is not None else frozenset()

    def covers(self, zone):
        """Return whether a zone is evacuated, as far as is known."""
        return zone in self.zones

    def apply(self, evacuated):
        """Put an ``EvacuatedZones`` in force if it is newer; return whether it was."""
        heard_ms, self._heard_ms = self._heard_ms, self._clock.now_ms()
        if self._current is not None and evacuated.revision <= self._current.revision:
            return False
        previous_zones, self._current = self.zones, evacuated
        fields = {
            "revision": evacuated.revision,
            # The change is at most about this much older than this line, None at the
            # first set.
            "age_ms": None if heard_ms is None else self._heard_ms - heard_ms,
        }
        for zone in sorted(evacuated.zones - previous_zones):
            log.warning("zone evacuation begins", zone=zone, **fields)
        for zone in sorted(previous_zones - evacuated.zones):
            log.notice("zone evacuation ends", zone=zone, **fields)
        return True


def no_evacuations(clock):
    """Return the state of a process that runs without an operator's table."""
    return EvacuationState(clock, EvacuatedZones(0))
