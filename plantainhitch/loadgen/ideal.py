"""The ideal response time of a job: on an otherwise idle fleet, with known run times.

``ideal_ms`` is the makespan of the job's tasks under list scheduling, the longest
task first, each on the slot where it would end first; it uses the true run times and
speeds, and messages take no time. Finding the optimum is NP-hard, so this schedule is
feasible but not necessarily the best. ``lower_bound_ms`` is a lower bound of all
schedules, which limits the distance of ``ideal_ms`` from the optimum.
"""

import heapq
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointModel:
    """An endpoint; a task of ``run_ms`` takes ``run_ms / speed`` in a slot."""

    slots: int
    speed: float


@dataclass(frozen=True, slots=True)
class Fleet:
    """The endpoints of a fleet."""

    endpoints: tuple[EndpointModel, ...]

    @classmethod
    def with_geometric_speeds(cls, count, slots, slowest, fastest):
        """Return a fleet with speeds in a geometric sequence, the slowest first."""
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
        """The number of slots of all endpoints."""
        return sum(endpoint.slots for endpoint in self.endpoints)

    @property
    def capacity(self):
        """The work completed per ms, in ms of run time at speed 1."""
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
    """Return the response time in ms of a job on the idle fleet.

    ``run_times_ms`` are its tasks' run times at speed 1.
    """
    slots_free_ms = [[0.0] * endpoint.slots for endpoint in fleet.endpoints]
    makespan_ms = 0.0
    for run_ms in sorted(run_times_ms, reverse=True):
        end_ms, endpoint_index = min(
            (free_ms[0] + run_ms / endpoint.speed, position)
            for position, (free_ms, endpoint) in enumerate(
                zip(slots_free_ms, fleet.endpoints, strict=True)
            )
        )
        heapq.heapreplace(slots_free_ms[endpoint_index], end_ms)
        makespan_ms = max(makespan_ms, end_ms)
    return makespan_ms


def lower_bound_ms(run_times_ms, fleet):
    """Return a lower bound in ms of the response time on the idle fleet.

    For each k, the k longest tasks take at least the sum of their run times divided
    by the total speed of the k fastest slots, or of all slots if k is larger.
    """
    speeds = sorted(
        (endpoint.speed for endpoint in fleet.endpoints for _ in range(endpoint.slots)),
        reverse=True,
    )
    longest_first_ms = sorted(run_times_ms, reverse=True)
    bound_ms = work_ms = total_speed = 0.0
    for position, run_ms in enumerate(longest_first_ms):
        work_ms += run_ms
        total_speed += speeds[position] if position < len(speeds) else 0.0
        bound_ms = max(bound_ms, work_ms / total_speed)
    return bound_ms
