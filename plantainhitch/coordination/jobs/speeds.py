"""Estimates of task sizes and endpoint speeds, learnt from observed run times.

A run time is modelled as the task's size times its endpoint's slowness. A task's size
is blended from the caller's estimate, which is rough, and the mean size of its queue.
A slowness of 1 is that of an endpoint on which tasks take as long as estimated. An
endpoint without observations gets the mean of its kind of machine.
"""

from ...state.estimates import RunningMean

# Observations after which an endpoint's own mean counts as much as its kind's.
ENDPOINT_HALF_COUNT = 8
# Samples of an agent after which its figure counts as much as the entry's own prior.
AGENT_HALF_COUNT = 1.0
# An endpoint whose slowness differs by this factor from its own mean is slow or fast
# for a while, and will be as before.
UNUSUAL_FACTOR = 2.0
# Estimates are rough, so a single ratio is clamped to this range.
MIN_RATIO = 0.1
MAX_RATIO = 10.0
# The error of estimates is about as large as the spread of sizes within a queue, so
# estimate and mean weigh alike (as a geometric mean).
ESTIMATE_WEIGHT = 0.5
# Observed sizes of a queue before its mean is blended with an estimate.
MIN_SIZE_COUNT = 10


def blend(prior, reported, samples):
    """Return the slowness by an entry's prior and by ``samples`` runs of all entries.

    It is their weighted geometric mean, because speeds differ by factors.
    """
    weight = samples / (samples + AGENT_HALF_COUNT)
    return prior ** (1 - weight) * reported**weight


class SpeedEstimates:
    """Slowness by endpoint and by kind of machine, and the mean task size by queue."""

    def __init__(self):
        self._kind_by_endpoint = {}
        self._slowness_by_kind = {}
        self._slowness_by_endpoint = {}
        self._size_by_queue = {}

    def register_endpoint(self, status):
        """Record the kind of machine of an endpoint, from its ``EndpointStatus``.

        What was learnt of the endpoint while it was of another kind is forgotten.
        """
        endpoint_id, kind = status.endpoint_id, (status.pool, status.kind)
        if self._kind_by_endpoint.get(endpoint_id, kind) != kind:
            self._slowness_by_endpoint.pop(endpoint_id, None)
        self._kind_by_endpoint[endpoint_id] = kind

    def slowness(self, endpoint_id):
        """Return a task's expected run time there as a multiple of its size."""
        kind_mean = self._slowness_by_kind.get(self._kind_by_endpoint.get(endpoint_id))
        prior = kind_mean.value if kind_mean else 1.0
        endpoint_mean = self._slowness_by_endpoint.get(endpoint_id)
        if endpoint_mean is None:
            return prior
        weight = endpoint_mean.count / (endpoint_mean.count + ENDPOINT_HALF_COUNT)
        return weight * endpoint_mean.value + (1 - weight) * prior

    def size_ms(self, queue, estimate_ms):
        """Return the expected size in ms of a task of a queue with that estimate."""
        mean_size = self._size_by_queue.get(queue)
        if mean_size is None or mean_size.count < MIN_SIZE_COUNT or estimate_ms <= 0:
            return float(estimate_ms or (mean_size.value if mean_size else 0))
        return estimate_ms**ESTIMATE_WEIGHT * mean_size.value ** (1 - ESTIMATE_WEIGHT)

    def observe(self, endpoint_id, queue, estimate_ms, run_ms, slowness=None):
        """Learn from the run time of a task that was done.

        ``slowness`` is that of the endpoint at present, if it is known otherwise. While
        it is far from the endpoint's own mean, the mean is left as it is.
        """
        run_ms = max(run_ms, 1)
        usual = self.slowness(endpoint_id)
        is_usual = (
            slowness is None or 1 / UNUSUAL_FACTOR < slowness / usual < UNUSUAL_FACTOR
        )
        if estimate_ms > 0 and is_usual:
            ratio = min(max(run_ms / estimate_ms, MIN_RATIO), MAX_RATIO)
            kind = self._kind_by_endpoint.get(endpoint_id)
            self._slowness_by_kind.setdefault(kind, RunningMean(ratio)).observe(ratio)
            endpoint_mean = self._slowness_by_endpoint.setdefault(
                endpoint_id, RunningMean(ratio)
            )
            endpoint_mean.observe(ratio)
        size_ms = run_ms / (slowness or self.slowness(endpoint_id))
        self._size_by_queue.setdefault(queue, RunningMean(size_ms)).observe(size_ms)
