"""Estimates of how long a task of a class runs at an endpoint.

A run time is modelled as the class's mean run time at an endpoint of average speed,
times the endpoint's slowness. The more tasks of a class an endpoint has run, the more
its own mean for that class counts instead. All figures come from observed run times,
but for the priors.
"""

from dataclasses import dataclass, field

DEFAULT_RUN_MS = 300.0
# Least weight of a new observation: a running mean becomes an exponential one.
MIN_OBSERVATION_WEIGHT = 0.05
# Observations after which the mean of one endpoint and class has half of the weight.
OWN_MEAN_HALF_COUNT = 30
# Bounds of the ratio of one run time to the mean of its class.
MIN_RATIO = 0.05
MAX_RATIO = 20.0
# Weight of the initial value of a mean (for slowness, 1), in observations.
PRIOR_OBSERVATIONS = 2


@dataclass(slots=True)
class RunningMean:
    """A mean that first weighs all observations alike, then recent ones more."""

    value: float
    count: int = 0

    def observe(self, value):
        """Add one observation."""
        self.count += 1
        weight = max(1 / (self.count + PRIOR_OBSERVATIONS), MIN_OBSERVATION_WEIGHT)
        self.value += weight * (value - self.value)


@dataclass(slots=True)
class EndpointEstimate:
    """The speed of one endpoint: a slowness of 1 is the average of the fleet."""

    slowness: RunningMean = field(default_factory=lambda: RunningMean(1.0))
    run_ms_by_class: dict[str, RunningMean] = field(default_factory=dict)


class RunTimeEstimates:
    """Run-time estimates for all endpoints and classes, in milliseconds."""

    def __init__(self):
        self._class_means = {}
        self._endpoints = {}

    def class_run_ms(self, class_name):
        """Return the expected run time in ms of the class at an average endpoint."""
        mean = self._class_means.get(class_name)
        return mean.value if mean else DEFAULT_RUN_MS

    def slowness(self, endpoint):
        """Return the endpoint's slowness; 1 if no run time of it was observed."""
        estimate = self._endpoints.get(endpoint)
        return estimate.slowness.value if estimate else 1.0

    def expected_ms(self, endpoint, class_name):
        """Return the expected run time in ms of a task of the class at the endpoint."""
        modelled = self.class_run_ms(class_name) * self.slowness(endpoint)
        estimate = self._endpoints.get(endpoint)
        own = estimate.run_ms_by_class.get(class_name) if estimate else None
        if own is None:
            return modelled
        weight = own.count / (own.count + OWN_MEAN_HALF_COUNT)
        return weight * own.value + (1 - weight) * modelled

    def set_prior(self, class_name, declared_ms):
        """Use a run time declared by a caller as the prior of a class not yet seen."""
        if declared_ms > 0 and class_name not in self._class_means:
            self._class_means[class_name] = RunningMean(float(declared_ms))

    def observe(self, endpoint, class_name, run_ms):
        """Add the run time in ms of one task that succeeded."""
        run_ms = max(run_ms, 1)
        estimate = self._endpoints.setdefault(endpoint, EndpointEstimate())
        class_mean = self._class_means.setdefault(
            class_name, RunningMean(DEFAULT_RUN_MS)
        )
        ratio = min(max(run_ms / max(class_mean.value, 1.0), MIN_RATIO), MAX_RATIO)
        class_mean.observe(run_ms / estimate.slowness.value)
        estimate.slowness.observe(ratio)
        own = estimate.run_ms_by_class.setdefault(
            class_name, RunningMean(float(run_ms))
        )
        own.observe(run_ms)
