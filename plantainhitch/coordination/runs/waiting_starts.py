"""Decides which starts that wait at an agent begin, and which are refused at once."""

from ...state.queue_ranks import QueueRanks
from .isolation import Isolation
from .run import Phase, may_be_at_endpoint


class WaitingStarts:
    """The order of the starts that wait for room at one endpoint.

    ``runs`` is the mapping of all runs of the agent by key; it is only read.
    """

    def __init__(self, runs):
        self._runs = runs
        self._ranks = QueueRanks()

    @property
    def ranks(self):
        """The ``QueueRanks`` by the loads of all owners."""
        return self._ranks

    def update_ranks(self, loads):
        """Rank the queues by the loads of all owners."""
        self._ranks = QueueRanks(loads)

    def is_room_expected(self, new_run, forecast):
        """Return whether room is expected to be free before the wait deadline.

        The owner may have chosen this endpoint by an outdated report. If the start is
        refused at once, the owner can place the run elsewhere without waiting.
        """
        priority = self._priority(new_run)
        needed_millis = new_run.start.room.cpu_millis
        for run in self._waiting():
            if run is not new_run and self._priority(run) <= priority:
                needed_millis += run.start.room.cpu_millis
        return forecast.has_room_within(new_run.start.wait_ms, needed_millis)

    def select(self, capacity, used_room):
        """Return the runs that can begin now in this order, by rank and due time.

        ``capacity`` is the ``Room`` of the endpoint, ``used_room`` that of the runs
        that are, or may be, there.
        """
        waiting = self._waiting()
        if not waiting:
            return []
        free = capacity - used_room
        at_endpoint = [run for run in self._runs.values() if may_be_at_endpoint(run)]
        tasks_at_endpoint = {run.start.key.task for run in at_endpoint}
        used_by_queue = {}
        for run in at_endpoint:
            _add_use(used_by_queue, run.start)
        isolation = Isolation(self._runs.values())
        selected = []
        for run in sorted(waiting, key=self._priority):
            start = run.start
            reserved = self._ranks.reserved_cpu_millis(
                start.queue, capacity.cpu_millis, used_by_queue
            )
            millis_left = free.cpu_millis - start.room.cpu_millis
            has_room = free.can_fit(start.room) and (
                millis_left >= reserved or start.is_isolated
            )
            if (
                has_room
                and start.key.task not in tasks_at_endpoint
                and isolation.may_begin(run)
            ):
                isolation.record_begin(run)
                tasks_at_endpoint.add(start.key.task)
                free -= start.room
                _add_use(used_by_queue, start)
                selected.append(run)
        return selected

    def _waiting(self):
        return [run for run in self._runs.values() if run.phase is Phase.WAITING]

    def _priority(self, run):
        """Return the sort key of waiting starts: by rank, then by due time."""
        start = run.start
        return self._ranks.rank(start.queue, start.is_late), run.due_ms


def _add_use(used_by_queue, start):
    used_by_queue[start.queue] = (
        used_by_queue.get(start.queue, 0) + start.room.cpu_millis
    )
