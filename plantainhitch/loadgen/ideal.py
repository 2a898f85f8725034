"""The ideal response of a job: the idle fleet to itself, and perfect knowledge.

``ideal_ms`` is the time at which the job's last task ends when its tasks are
placed by list scheduling, the longest first, each on the slot where it would end
first; run times and speeds are the true ones, and messages take no time. Finding
the optimum is NP-hard, so this is a schedule that exists, not the best one;
``lower_bound_ms`` is what no schedule can beat, and tells how far off it may be.
"""

import heapq
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointModel:
    """An endpoint: a task of ``run_ms`` takes ``run_ms / speed`` in a slot."""

    slots: int
    speed: float


@dataclass(frozen=True, slots=True)
class Fleet:
    """The endpoints of a fleet."""

    endpoints: tuple[EndpointModel, ...]

    @classmethod
    def with_geometric_speeds(cls, count, slots, slowest, fastest):
        """Return a fleet with speeds in geometric steps from slowest to fastest."""
        ratio = (fastest / slowest) ** (1 / max(count - 1, 1))
        return cls(
            tuple(
                EndpointModel(slots, slowest * ratio**position)
                for position in range(count)
            )
        )

    @classmethod
    def from_text(cls, text):
        """Return the fleet written ``slots*speed,...``, as in ``8*0.5,8*2``."""
        return cls(tuple(_parse_endpoint(part) for part in text.split(",")))

    @property
    def slots(self):
        """The number of slots."""
        return sum(endpoint.slots for endpoint in self.endpoints)

    @property
    def capacity(self):
        """The work in ms of an endpoint of speed 1 that it does in one ms."""
        return sum(endpoint.slots * endpoint.speed for endpoint in self.endpoints)


def _parse_endpoint(text):
    slots, separator, speed = text.partition("*")
    try:
        endpoint = EndpointModel(int(slots), float(speed))
    except ValueError:
        separator = ""
    if not separator or endpoint.slots < 1 or endpoint.speed <= 0:
        raise ValueError(f"not an endpoint (slots*speed): {text!r}")
    return endpoint


def ideal_ms(run_times_ms, fleet):
    """Return the response in ms of a job with these run times on the idle fleet."""
    free = [[0.0] * endpoint.slots for endpoint in fleet.endpoints]
    ends_ms = 0.0
    for run_ms in sorted(run_times_ms, reverse=True):
        end_ms, chosen = min(
            (heap[0] + run_ms / endpoint.speed, position)
            for position, (heap, endpoint) in enumerate(
                zip(free, fleet.endpoints, strict=True)
            )
        )
        heapq.heapreplace(free[chosen], end_ms)
        ends_ms = max(ends_ms, end_ms)
    return ends_ms


def lower_bound_ms(run_times_ms, fleet):
    """Return a response in ms that no schedule on the idle fleet can beat.

    For each k, the k longest tasks need at least their sum on the k fastest
    slots; all tasks together need at least their sum on all slots.
    """
    speeds = sorted(
        (endpoint.speed for endpoint in fleet.endpoints for _ in range(endpoint.slots)),
        reverse=True,
    )
    longest = sorted(run_times_ms, reverse=True)
    bound_ms = work_ms = speed = 0.0
    for position, run_ms in enumerate(longest):
        work_ms += run_ms
        speed += speeds[position] if position < len(speeds) else 0.0
        bound_ms = max(bound_ms, work_ms / speed)
    return bound_ms
