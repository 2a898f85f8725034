"""Estimates of how long a task of a class runs at an endpoint.

A run time is modelled as the class's mean size times the endpoint's slowness;
once an endpoint has run enough tasks of a class, its own mean for that class
takes over. All of it is learnt from observed run times.
"""

from dataclasses import dataclass, field

DEFAULT_RUN_MS = 300.0
# Weight of one observation once a mean has settled.
SETTLED_WEIGHT = 0.05
# Observations after which the own mean of (endpoint, class) counts for half.
OWN_MEAN_HALF_COUNT = 30
MIN_RATIO = 0.05
MAX_RATIO = 20.0
# Pull of each unseen endpoint's slowness towards 1, in observations.
PRIOR_COUNT = 2


@dataclass(slots=True)
class RunningMean:
    """A mean that weighs all observations alike at first and recent ones later."""

    value: float
    count: int = 0

    def observe(self, value):
        """Take in one observation."""
        self.count += 1
        weight = max(1 / (self.count + PRIOR_COUNT), SETTLED_WEIGHT)
        self.value += weight * (value - self.value)


@dataclass(slots=True)
class EndpointEstimate:
    """What is known of one endpoint's speed; slowness 1 is the fleet's middle."""

    slowness: RunningMean = field(default_factory=lambda: RunningMean(1.0))
    by_class: dict[str, RunningMean] = field(default_factory=dict)


class RunTimeEstimates:
    """Run-time estimates for all endpoints and classes, in milliseconds."""

    def __init__(self):
        self._sizes = {}
        self._endpoints = {}

    def class_run_ms(self, class_name):
        """Return the expected run time of the class at a middling endpoint."""
        size = self._sizes.get(class_name)
        return size.value if size else DEFAULT_RUN_MS

    def slowness(self, endpoint):
        """Return the endpoint's slowness, 1 where nothing is known."""
        known = self._endpoints.get(endpoint)
        return known.slowness.value if known else 1.0

    def expected_ms(self, endpoint, class_name):
        """Return the expected run time of a task of the class at the endpoint."""
        modelled = self.class_run_ms(class_name) * self.slowness(endpoint)
        known = self._endpoints.get(endpoint)
        own = known.by_class.get(class_name) if known else None
        if own is None:
            return modelled
        weight = own.count / (own.count + OWN_MEAN_HALF_COUNT)
        return weight * own.value + (1 - weight) * modelled

    def set_prior(self, class_name, declared_ms):
        """Take a caller's declared run time as the prior of an unseen class."""
        if declared_ms > 0 and class_name not in self._sizes:
            self._sizes[class_name] = RunningMean(float(declared_ms))

    def observe(self, endpoint, class_name, run_ms):
        """Take in the run time of one task that succeeded."""
        run_ms = max(run_ms, 1)
        known = self._endpoints.setdefault(endpoint, EndpointEstimate())
        size = self._sizes.setdefault(class_name, RunningMean(DEFAULT_RUN_MS))
        ratio = min(max(run_ms / max(size.value, 1.0), MIN_RATIO), MAX_RATIO)
        size.observe(run_ms / known.slowness.value)
        known.slowness.observe(ratio)
        own = known.by_class.setdefault(class_name, RunningMean(float(run_ms)))
        own.observe(run_ms)

    def remove_endpoint(self, endpoint):
        """Drop what is known of an endpoint that has left."""
        self._endpoints.pop(endpoint, None)
