"""Judges endpoints by how often their tasks fail, compared with the fleet.

An endpoint that fails quickly always looks idle and would draw more and more
tasks. One whose failure rate is far above the fleet's is held back: it gets
single tasks at growing intervals until one succeeds.
"""

from dataclasses import dataclass

# Weight of one result in an endpoint's failure rate: three failures in a row
# lift the rate of a sound endpoint above HOLD_RATE.
RESULT_WEIGHT = 0.3
FLEET_WEIGHT = 0.02
HOLD_RATE = 0.6
# How far above the fleet's rate an endpoint must be to be held back.
FLEET_FACTOR = 3.0
FIRST_RETRY_MS = 1_000
MAX_RETRY_MS = 30_000
MAX_HELD_SHARE = 1 / 3


@dataclass(slots=True)
class EndpointHealth:
    """Failure rate and hold of one endpoint."""

    rate: float = 0.0
    is_held_back: bool = False
    retry_at_ms: int = 0
    retry_interval_ms: int = FIRST_RETRY_MS


class OutlierDetector:
    """Decides which endpoints are held back."""

    def __init__(self, clock):
        self._clock = clock
        self._fleet_rate = 0.0
        self._health_by_endpoint = {}

    @property
    def held_back_count(self):
        """How many endpoints are held back."""
        return sum(health.is_held_back for health in self._health_by_endpoint.values())

    def health_of(self, endpoint):
        """Return the ``EndpointHealth`` of an endpoint."""
        health = self._health_by_endpoint.get(endpoint)
        if health is None:
            health = self._health_by_endpoint[endpoint] = EndpointHealth()
        return health

    def remove(self, endpoint):
        """Drop an endpoint that has left."""
        self._health_by_endpoint.pop(endpoint, None)

    def record_result(self, endpoint, failed):
        """Take in one result of an endpoint."""
        health = self.health_of(endpoint)
        health.rate += RESULT_WEIGHT * (failed - health.rate)
        if not health.is_held_back:
            self._fleet_rate += FLEET_WEIGHT * (failed - self._fleet_rate)
        if failed:
            self._update_after_failure(health)
        elif health.is_held_back:
            self._restore(health)

    def may_start(self, endpoint, in_flight):
        """Return whether the endpoint may get a task now."""
        health = self._health_by_endpoint.get(endpoint)
        if health is None or not health.is_held_back:
            return True
        return in_flight == 0 and self._clock.now_ms() >= health.retry_at_ms

    def _update_after_failure(self, health):
        now_ms = self._clock.now_ms()
        if health.is_held_back:
            if now_ms >= health.retry_at_ms:
                doubled = health.retry_interval_ms * 2
                health.retry_interval_ms = min(doubled, MAX_RETRY_MS)
                health.retry_at_ms = now_ms + health.retry_interval_ms
            return
        threshold = max(HOLD_RATE, min(FLEET_FACTOR * self._fleet_rate, 1.0))
        allowed = max(1, int(len(self._health_by_endpoint) * MAX_HELD_SHARE))
        if health.rate >= threshold and self.held_back_count < allowed:
            health.is_held_back = True
            health.retry_interval_ms = FIRST_RETRY_MS
            health.retry_at_ms = now_ms + FIRST_RETRY_MS

    def _restore(self, health):
        health.is_held_back = False
        health.rate = 0.0
