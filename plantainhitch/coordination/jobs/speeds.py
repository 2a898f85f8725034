"""How slow endpoints are, learnt from run times against the callers' estimates.

A slowness of 1 means that tasks take as long as estimated. An endpoint that is not
known yet is judged by its kind of machine.
"""

from ...state.estimates import RunningMean

# Observations after which an endpoint's own mean counts as much as its kind's.
HALF_COUNT = 8
# Estimates are rough, so a single ratio is cut to this range.
MIN_RATIO = 0.1
MAX_RATIO = 10.0


class Speeds:
    """Slowness by endpoint and by kind of machine."""

    def __init__(self):
        self._kinds = {}
        self._by_kind = {}
        self._by_endpoint = {}

    def introduce(self, status):
        """Note the kind of machine of an endpoint, from its ``EndpointStatus``."""
        self._kinds[status.endpoint_id] = (status.pool, status.kind)

    def slowness(self, endpoint_id):
        """Return the run time of a task there as a multiple of its estimate."""
        kind = self._by_kind.get(self._kinds.get(endpoint_id))
        prior = kind.value if kind else 1.0
        own = self._by_endpoint.get(endpoint_id)
        if own is None:
            return prior
        weight = own.count / (own.count + HALF_COUNT)
        return weight * own.value + (1 - weight) * prior

    def observe(self, endpoint_id, estimate_ms, run_ms):
        """Take in the run time of a task that was done."""
        if estimate_ms <= 0:
            return
        ratio = min(max(run_ms / estimate_ms, MIN_RATIO), MAX_RATIO)
        kind = self._kinds.get(endpoint_id)
        self._by_kind.setdefault(kind, RunningMean(ratio)).observe(ratio)
        self._by_endpoint.setdefault(endpoint_id, RunningMean(ratio)).observe(ratio)

    def forget(self, endpoint_id):
        """Drop an endpoint that has left."""
        self._by_endpoint.pop(endpoint_id, None)
        self._kinds.pop(endpoint_id, None)
