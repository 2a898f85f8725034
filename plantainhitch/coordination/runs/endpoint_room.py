"""The room of an agent's endpoint: what runs take up, may take up, and leave free."""

from ...state.jobs import Room
from .forecast import Forecast


class EndpointRoom:
    """The ``Room`` that the runs at an endpoint share.

    ``lifetime`` is the ``EndpointLifetime``, ``runs`` the ``RunTable``, ``warm_up`` the
    ``WarmUp``.
    """

    def __init__(self, clock, lifetime, runs, warm_up):
        self._clock = clock
        self._lifetime = lifetime
        self._runs = runs
        self._warm_up = warm_up
        # The processor of the start that was received last.
        self._last_start_millis = 0

    @property
    def used(self):
        """The room of all runs that are, or may be, at the endpoint."""
        return self._runs.used_room

    @property
    def usable(self):
        """The room of the endpoint, limited while it is cold.

        It is at least what the present runs use. None is known before the first report.
        """
        capacity = self._lifetime.report.capacity
        limit_millis = self._warm_up.limit_millis(
            capacity.cpu_millis, self._last_start_millis
        )
        if limit_millis >= capacity.cpu_millis:
            return capacity
        limit_millis = max(limit_millis, self.used.cpu_millis)
        return Room(limit_millis, capacity.memory_mb, capacity.gpus)

    @property
    def free(self):
        """The room that no run takes up; starts may be waiting for it.

        There is none while a run needs isolation or the present lifetime isn't known,
        and less while the endpoint is cold.
        """
        if not self._lifetime.is_known or self._runs.has_isolated:
            return Room()
        return self.usable - self.used

    def record_start(self, start):
        """Record a ``RunStart`` that was received."""
        self._last_start_millis = start.room.cpu_millis

    def forecast(self, ranks):
        """Return the present ``Forecast``; ``ranks`` are the ``QueueRanks``."""
        runs, now_ms = self._runs.values(), self._clock.now_ms()
        if self._lifetime.is_known and self._runs.has_isolated:
            capacity_millis = self._lifetime.report.capacity.cpu_millis
            return Forecast.from_isolated_runs(runs, capacity_millis, ranks, now_ms)
        return Forecast.from_runs(runs, self.free, ranks, now_ms)
