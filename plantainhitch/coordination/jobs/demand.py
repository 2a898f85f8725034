"""How much work each queue usually brings to this entry, and to all of them."""

import math

from ...protocol import messages as m
from ...state.queue_ranks import QueueRanks

# How long an arrival counts: much longer than a burst, so that a burst of a queue
# does not change what its jobs are worth.
MEMORY_MS = 60_000
# Loads are told to the agents this often.
TELL_MS = 1_000
DECAY_STEP_MS = 100
# However much comes first, this share of an entry's part of the fleet is left.
LEAST_PART = 0.1


class Demand:
    """The usual load of each queue, in core-milliseconds of work a second."""

    def __init__(self, clock):
        self._clock = clock
        self._began_ms = clock.now_ms()
        self._updated_ms = self._began_ms
        self._told_ms = self._began_ms
        self._sums = {}
        self._slack_ms = {}
        self._ranks = QueueRanks()

    @property
    def ranks(self):
        """The order of the queues by the load of all entries."""
        return self._ranks

    def observe(self, queue, work, slack_ms):
        """Take in one job: its work in core-ms, and how long it can wait."""
        self._decay()
        self._sums[queue] = self._sums.get(queue, 0.0) + work
        self._slack_ms[queue] = slack_ms

    def load(self, queue):
        """Return the work a second that the queue usually brings here."""
        age_ms = max(self._clock.now_ms() - self._began_ms, TELL_MS)
        span_ms = MEMORY_MS * (1 - math.exp(-age_ms / MEMORY_MS))
        return self._sums.get(queue, 0.0) * 1_000 / span_ms

    def rate_for(self, queue, fleet_millis):
        """Return the work a second that this entry can begin for a queue.

        Its part of the fleet is that of its load; what queues of a lower rank
        usually bring comes first.
        """
        own = sum(self.load(name) for name in self._sums)
        total = sum(load.share for load in self._ranks.loads.values()) * fleet_millis
        part = min(1.0, own / total) if total else 1.0
        rank = self._ranks.rank(queue)
        first = sum(
            self.load(name)
            for name in self._sums
            if name != queue and self._ranks.rank(name) < rank
        )
        return max(fleet_millis * part - first, LEAST_PART * fleet_millis * part)

    def is_due(self):
        """Return whether the agents are to be told the loads now."""
        now_ms = self._clock.now_ms()
        if now_ms - self._told_ms < TELL_MS or not self._sums:
            return False
        self._told_ms = now_ms
        return True

    def loads(self, fleet_millis):
        """Return the ``QueueLoads`` of this entry; the fleet's processor is given."""
        self._decay()
        return m.QueueLoads(
            [
                m.QueueLoad(
                    queue,
                    self.load(queue) / max(fleet_millis, 1),
                    round(self._slack_ms[queue]),
                )
                for queue in self._sums
            ]
        )

    def take_total(self, loads):
        """Take in the loads of all entries, as an agent has summed them."""
        self._ranks = QueueRanks(loads)

    def _decay(self):
        passed_ms = self._clock.now_ms() - self._updated_ms
        if passed_ms < DECAY_STEP_MS:
            return
        factor = math.exp(-passed_ms / MEMORY_MS)
        for name in self._sums:
            self._sums[name] *= factor
        self._updated_ms += passed_ms
