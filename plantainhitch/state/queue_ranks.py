"""The order of queues, and what is kept free for which, from their usual loads.

Operators give no weights. Each queue's share of answers in time counts alike, so a
queue that usually brings little work is worth more for each unit of it and goes
first. Shared by entries and agents, so that both order alike.
"""

# Added to the rank of a start whose job can't end in time; above any share.
LATE_RANK_OFFSET = 1_000.0
# Ranks that differ by less than this factor come from the same queue, told of at
# different times.
SAME_RANK_FACTOR = 1.05
# What is kept free for a queue, as a multiple of its usual load. More than this
# cost the other queues more than it gained.
RESERVED_LOAD_FACTOR = 1.0


class QueueRanks:
    """Ranks of queues, from their ``QueueLoad``; a lower one goes first."""

    def __init__(self, loads=()):
        self._loads = {load.queue: load for load in loads}
        self._kept_for = {}

    @property
    def loads(self):
        """The loads by queue, for reading only."""
        return self._loads

    def rank(self, queue, is_late=False):
        """Return the rank of a start of a queue."""
        load = self._loads.get(queue)
        share = load.share if load else 0.0
        return LATE_RANK_OFFSET + share if is_late else share

    def reserved_share(self, queue):
        """Return the share of an idle endpoint that starts of a queue leave free."""
        return RESERVED_LOAD_FACTOR * sum(load.share for load in self._before(queue))

    def reserved_cpu_millis(self, queue, capacity_cpu_millis, used_by_queue):
        """Return the processor that starts of a queue have to leave free.

        It is kept for queues that bring less work and can wait less long, as far as
        they don't use their share of ``capacity_cpu_millis`` already.
        """
        reserved = 0.0
        for load in self._before(queue):
            kept = load.share * RESERVED_LOAD_FACTOR * capacity_cpu_millis
            reserved += max(0.0, kept - used_by_queue.get(load.queue, 0))
        return round(reserved)

    def _before(self, queue):
        """Return the loads of the queues that room is kept free for."""
        before = self._kept_for.get(queue)
        if before is None:
            own = self._loads.get(queue)
            before = self._kept_for[queue] = [
                load
                for load in self._loads.values()
                if own and load.share < own.share and load.slack_ms < own.slack_ms
            ]
        return before
