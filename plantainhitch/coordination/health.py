"""Outlier detection: holds back endpoints that fail more often than the fleet.

An endpoint that fails its tasks quickly always looks idle and would attract more and
more of them. An endpoint whose failure rate is far above the fleet's is held back: it
gets single probe tasks at growing intervals until one succeeds.
"""

from dataclasses import dataclass

# Weight of one result in an endpoint's failure rate: three failures in a row raise
# the rate of a healthy endpoint above MIN_HOLD_BACK_RATE.
RESULT_WEIGHT = 0.3
FLEET_RESULT_WEIGHT = 0.02
MIN_HOLD_BACK_RATE = 0.6
# An endpoint is held back above this multiple of the fleet's failure rate.
FLEET_RATE_FACTOR = 3.0
FIRST_PROBE_INTERVAL_MS = 1_000
MAX_PROBE_INTERVAL_MS = 30_000
MAX_HELD_BACK_SHARE = 1 / 3
# Held back endpoints that are remembered after they have left.
MAX_ABSENT = 1_000


@dataclass(slots=True)
class EndpointHealth:
    """The moving failure rate of an endpoint, and its probes while held back."""

    failure_rate: float = 0.0
    is_held_back: bool = False
    next_probe_ms: int = 0
    probe_interval_ms: int = FIRST_PROBE_INTERVAL_MS


class OutlierDetector:
    """Decides which endpoints are held back."""

    def __init__(self, clock):
        self._clock = clock
        self._fleet_failure_rate = 0.0
        self._health_by_endpoint = {}
        # Held back endpoints that have left, the earliest first.
        self._held_back_absent = {}

    @property
    def held_back_count(self):
        """The number of endpoints that are held back."""
        return sum(health.is_held_back for health in self._health_by_endpoint.values())

    def health_of(self, endpoint):
        """Return the ``EndpointHealth`` of an endpoint."""
        health = self._health_by_endpoint.get(endpoint)
        if health is None:
            health = self._held_back_absent.pop(endpoint, None) or EndpointHealth()
            self._health_by_endpoint[endpoint] = health
        return health

    def endpoint_left(self, endpoint):
        """Record that an endpoint has left or died.

        It no longer counts towards the limit. If it was held back and returns, it is
        still held back.
        """
        health = self._health_by_endpoint.pop(endpoint, None)
        if health is not None and health.is_held_back:
            self._held_back_absent[endpoint] = health
            while len(self._held_back_absent) > MAX_ABSENT:
                del self._held_back_absent[next(iter(self._held_back_absent))]

    def record_result(self, endpoint, failed):
        """Record the success or failure of one task at an endpoint."""
        health = self.health_of(endpoint)
        health.failure_rate += RESULT_WEIGHT * (failed - health.failure_rate)
        if not health.is_held_back:
            self._fleet_failure_rate += FLEET_RESULT_WEIGHT * (
                failed - self._fleet_failure_rate
            )
        if failed:
            self._update_after_failure(health)
        elif health.is_held_back:
            self._restore(health)

    def may_start(self, endpoint, in_flight):
        """Return whether the endpoint may get a task now, a probe if held back.

        ``in_flight`` is the number of tasks in flight there.
        """
        health = self.health_of(endpoint)
        if not health.is_held_back:
            return True
        return in_flight == 0 and self._clock.now_ms() >= health.next_probe_ms

    def _update_after_failure(self, health):
        now_ms = self._clock.now_ms()
        if health.is_held_back:
            if now_ms >= health.next_probe_ms:
                doubled_ms = health.probe_interval_ms * 2
                health.probe_interval_ms = min(doubled_ms, MAX_PROBE_INTERVAL_MS)
                health.next_probe_ms = now_ms + health.probe_interval_ms
            return
        threshold = max(
            MIN_HOLD_BACK_RATE, min(FLEET_RATE_FACTOR * self._fleet_failure_rate, 1.0)
        )
        max_held_back = max(1, int(len(self._health_by_endpoint) * MAX_HELD_BACK_SHARE))
        if health.failure_rate >= threshold and self.held_back_count < max_held_back:
            health.is_held_back = True
            health.probe_interval_ms = FIRST_PROBE_INTERVAL_MS
            health.next_probe_ms = now_ms + FIRST_PROBE_INTERVAL_MS

    def _restore(self, health):
        health.is_held_back = False
        health.failure_rate = 0.0
