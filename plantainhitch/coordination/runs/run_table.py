"""The runs that an agent has, at its endpoint or waiting for it, and their room."""

from collections.abc import Mapping

from ...state.jobs import Room
from .run import may_be_at_endpoint


class RunTable(Mapping):
    """All ``Run`` objects by key, to be changed by its methods only."""

    def __init__(self):
        self._runs = {}
        self._used_room = Room()
        self._isolated_count = 0

    @property
    def used_room(self):
        """The ``Room`` of all runs that are, or may be, at the endpoint."""
        return self._used_room

    @property
    def has_isolated(self):
        """Whether a run needs isolation."""
        return self._isolated_count > 0

    def __getitem__(self, key):
        return self._runs[key]

    def __iter__(self):
        return iter(self._runs)

    def __len__(self):
        return len(self._runs)

    # Those of ``Mapping`` look each key up.

    def __contains__(self, key):
        return key in self._runs

    def get(self, key, default=None):
        """See ``dict``."""
        return self._runs.get(key, default)

    def values(self):
        """See ``dict``."""
        return self._runs.values()

    def items(self):
        """See ``dict``."""
        return self._runs.items()

    def add(self, run):
        """Add a run that waits for room."""
        self._runs[run.start.key] = run
        self._isolated_count += run.start.is_isolated

    def take_room(self, run):
        """Record that the start of a run is ordered from now on."""
        self._used_room += run.start.room

    def remove(self, key):
        """Remove a run that has ended, and return it."""
        run = self._runs.pop(key)
        self._isolated_count -= run.start.is_isolated
        if may_be_at_endpoint(run):
            self._used_room -= run.start.room
        return run

    def at_endpoint(self):
        """Return the runs that are, or may be, at the endpoint."""
        return [run for run in self._runs.values() if may_be_at_endpoint(run)]

    def unlisted(self):
        """Return the started runs that no inventory has listed as running yet.

        An endpoint that restarts under the same id accepts orders that were sent to
        its previous lifetime, so these runs may be running in the new one.
        """
        return [run for run in self.at_endpoint() if not run.is_listed]

    def may_begin_later(self):
        """Return the runs whose start was ordered and may not be carried out yet."""
        return [run for run in self._runs.values() if run.may_begin_later]

    def others_of_task(self, run):
        """Return the other runs of a run's task."""
        task = run.start.key.task
        return [
            other
            for other in self._runs.values()
            if other.start.key.task == task and other is not run
        ]
