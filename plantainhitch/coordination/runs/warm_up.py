"""Decides how much processor an endpoint may use while it is cold after a start."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WarmUpLimits:
    """The limit of runs at a cold endpoint, from the settings of the deployment.

    ``slack`` runs may start at any time, and ``overshoot`` times the warm part of what
    fits in addition.
    """

    slack: int
    overshoot: float

    @classmethod
    def from_bounds(cls, bounds):
        """Return the limits in a deployment's ``Bounds``, None if it has none."""
        if bounds.cold_slack is None or bounds.cold_overshoot is None:
            return None
        return cls(bounds.cold_slack, bounds.cold_overshoot)


class WarmUp:
    """The cold period of one endpoint.

    ``limits`` are its ``WarmUpLimits``, or None for no limit.
    """

    def __init__(self, clock, limits=None):
        self._clock = clock
        self._limits = limits
        self._reported_ms = 0
        self._cold_for_ms = 0
        self._longest_ms = 0

    @property
    def cold_for_ms(self):
        """How much longer the endpoint stays cold, by its last report, in ms."""
        elapsed_ms = self._clock.now_ms() - self._reported_ms
        return max(self._cold_for_ms - elapsed_ms, 0)

    @property
    def warm_part(self):
        """The part of the cold period that is over, 1.0 for a warm endpoint."""
        cold_for_ms = self.cold_for_ms
        return 1 - cold_for_ms / self._longest_ms if cold_for_ms else 1.0

    def record(self, cold_for_ms, is_new_lifetime):
        """Record what a heartbeat says; a cold period begins after a warm one."""
        if is_new_lifetime or not self.cold_for_ms:
            self._longest_ms = 0
        self._reported_ms = self._clock.now_ms()
        self._cold_for_ms = max(cold_for_ms, 0)
        self._longest_ms = max(self._longest_ms, self._cold_for_ms)

    def limit_millis(self, capacity_millis, run_millis):
        """Return the processor that runs may use now, in thousandths of a core.

        ``run_millis`` is the processor of one run, by which the slack is counted.
        """
        if self._limits is None or not self.cold_for_ms:
            return capacity_millis
        warm_millis = self._limits.overshoot * self.warm_part * capacity_millis
        slack_millis = self._limits.slack * run_millis
        return min(capacity_millis, round(warm_millis + slack_millis))
