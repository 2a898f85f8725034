"""How long tasks run, learnt from run times against the callers' estimates.

A run time is the task's size times its endpoint's slowness. Sizes are blended from
the caller's rough estimate and the mean of the queue; a slowness of 1 is that of an
endpoint on which tasks take as long as estimated. An endpoint that is not known yet
is judged by its kind of machine.
"""

from ...state.estimates import RunningMean

# Observations after which an endpoint's own mean counts as much as its kind's.
HALF_COUNT = 8
# Estimates are rough, so a single ratio is cut to this range.
MIN_RATIO = 0.1
MAX_RATIO = 10.0
# Estimates are off by about as much as sizes differ within a queue, so the best
# guess lies halfway between the estimate and the mean.
ESTIMATE_WEIGHT = 0.5
# Sizes of a queue that have to be known before its mean counts.
MIN_SIZES = 10


class Speeds:
    """Slowness by endpoint and by kind of machine, and the mean size by queue."""

    def __init__(self):
        self._kinds = {}
        self._by_kind = {}
        self._by_endpoint = {}
        self._sizes = {}

    def introduce(self, status):
        """Note the kind of machine of an endpoint, from its ``EndpointStatus``."""
        self._kinds[status.endpoint_id] = (status.pool, status.kind)

    def slowness(self, endpoint_id):
        """Return the run time of a task there as a multiple of its size."""
        kind = self._by_kind.get(self._kinds.get(endpoint_id))
        prior = kind.value if kind else 1.0
        own = self._by_endpoint.get(endpoint_id)
        if own is None:
            return prior
        weight = own.count / (own.count + HALF_COUNT)
        return weight * own.value + (1 - weight) * prior

    def size_ms(self, queue, estimate_ms):
        """Return the expected size of a task of a queue with that estimate."""
        known = self._sizes.get(queue)
        if known is None or known.count < MIN_SIZES or estimate_ms <= 0:
            return float(estimate_ms or (known.value if known else 0))
        return estimate_ms**ESTIMATE_WEIGHT * known.value ** (1 - ESTIMATE_WEIGHT)

    def observe(self, endpoint_id, queue, estimate_ms, run_ms):
        """Take in the run time of a task that was done."""
        run_ms = max(run_ms, 1)
        if estimate_ms > 0:
            ratio = min(max(run_ms / estimate_ms, MIN_RATIO), MAX_RATIO)
            kind = self._kinds.get(endpoint_id)
            self._by_kind.setdefault(kind, RunningMean(ratio)).observe(ratio)
            own = self._by_endpoint.setdefault(endpoint_id, RunningMean(ratio))
            own.observe(ratio)
        size_ms = run_ms / self.slowness(endpoint_id)
        self._sizes.setdefault(queue, RunningMean(size_ms)).observe(size_ms)
