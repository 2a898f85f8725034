"""The offered load of each queue, at this entry and over all entries."""

import math

from ...protocol import messages as m
from ...state.queue_ranks import QueueRanks

# Time constant of the decay of past arrivals: much longer than a burst, so that a
# burst of a queue doesn't change its rank.
DECAY_TIME_MS = 60_000
# Interval at which agents are sent the loads.
REPORT_INTERVAL_MS = 1_000
MIN_DECAY_INTERVAL_MS = 100
# A queue's service rate is at least this fraction of the entry's share of the fleet,
# however much load precedes it.
MIN_RATE_SHARE = 0.1


class Demand:
    """The usual load of each queue, in core-milliseconds of work per second.

    That unit equals a thousandth of a core, so loads compare with ``cpu_millis``.
    """

    def __init__(self, clock):
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._updated_ms = self._started_ms
        self._reported_ms = self._started_ms
        # By queue: the work that has arrived, exponentially decayed.
        self._work_by_queue = {}
        self._slack_ms_by_queue = {}
        self._ranks = QueueRanks()

    @property
    def ranks(self):
        """The ranks of the queues by the load of all entries."""
        return self._ranks

    def observe(self, queue, work_core_ms, slack_ms):
        """Record the arrival of a job: its work, and how long it can wait."""
        self._decay()
        self._work_by_queue[queue] = self._work_by_queue.get(queue, 0.0) + work_core_ms
        self._slack_ms_by_queue[queue] = slack_ms

    def load(self, queue):
        """Return the queue's usual load at this entry, in core-ms per second."""
        uptime_ms = max(self._clock.now_ms() - self._started_ms, REPORT_INTERVAL_MS)
        span_ms = DECAY_TIME_MS * (1 - math.exp(-uptime_ms / DECAY_TIME_MS))
        return self._work_by_queue.get(queue, 0.0) * 1_000 / span_ms

    def service_rate(self, queue, fleet_cpu_millis):
        """Return the core-ms per second that this entry can start for a queue.

        The entry's share of the fleet is its share of the load of all entries. From
        it goes the usual load of the queues of lower rank, which are served first.
        """
        own_load = sum(self.load(name) for name in self._work_by_queue)
        total_load = (
            sum(load.share for load in self._ranks.loads.values()) * fleet_cpu_millis
        )
        entry_share = min(1.0, own_load / total_load) if total_load else 1.0
        rank = self._ranks.rank(queue)
        preceding_load = sum(
            self.load(name)
            for name in self._work_by_queue
            if name != queue and self._ranks.rank(name) < rank
        )
        return max(
            fleet_cpu_millis * entry_share - preceding_load,
            MIN_RATE_SHARE * fleet_cpu_millis * entry_share,
        )

    def begin_report_if_due(self):
        """Return whether the loads are to be sent now; if so, restart the interval."""
        now_ms = self._clock.now_ms()
        if now_ms - self._reported_ms < REPORT_INTERVAL_MS or not self._work_by_queue:
            return False
        self._reported_ms = now_ms
        return True

    def loads(self, fleet_cpu_millis, contained_ms):
        """Return this entry's ``QueueLoads``, as shares of the fleet's processor.

        ``contained_ms`` has, by queue, for how long it stays contained.
        """
        self._decay()
        return m.QueueLoads(
            [
                m.QueueLoad(
                    queue,
                    self.load(queue) / max(fleet_cpu_millis, 1),
                    round(self._slack_ms_by_queue[queue]),
                    contained_ms.get(queue, 0),
                )
                for queue in self._work_by_queue
            ]
        )

    def update_ranks(self, loads):
        """Rank the queues by the loads of all entries, as an agent has summed them."""
        self._ranks = QueueRanks(loads)

    def _decay(self):
        elapsed_ms = self._clock.now_ms() - self._updated_ms
        if elapsed_ms < MIN_DECAY_INTERVAL_MS:
            return
        factor = math.exp(-elapsed_ms / DECAY_TIME_MS)
        for name in self._work_by_queue:
            self._work_by_queue[name] *= factor
        self._updated_ms += elapsed_ms
