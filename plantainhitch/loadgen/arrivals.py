"""Open-loop arrivals: each job's due time, independent of the ends of earlier jobs.

A job's response time is measured from its due time, so it includes the delay of a
load generator that falls behind.
"""

import random
from dataclasses import dataclass

from .workloads import PlannedTask, mean_job_work_ms


@dataclass(frozen=True, slots=True)
class PlannedJob:
    """A job with its tasks; ``due_ms`` is counted from the start of the run."""

    number: int
    due_ms: float
    class_name: str
    tasks: tuple[PlannedTask, ...]

    @property
    def work_ms(self):
        """The sum of the tasks' run times on an endpoint of speed 1."""
        return sum(task.run_ms for task in self.tasks)


@dataclass(frozen=True, slots=True)
class Flood:
    """Additional arrivals of one class, at ``load`` times the fleet's capacity."""

    class_name: str
    load: float
    start_ms: float
    end_ms: float


@dataclass(frozen=True, slots=True)
class Burst:
    """``jobs`` jobs of a class that are all due at ``at_ms``."""

    class_name: str
    jobs: int
    at_ms: float


def poisson_times(rng, per_second, start_ms, end_ms):
    """Yield the arrival times in ms of a Poisson process within [start, end)."""
    if per_second <= 0:
        return
    now_ms = start_ms
    while True:
        now_ms += rng.expovariate(per_second) * 1000
        if now_ms >= end_ms:
            return
        yield now_ms


def plan_jobs(mix, fleet, load, seconds, seed, *, floods=(), bursts=()):
    """Return the jobs of a run, ordered by due time.

    ``load`` is the offered work divided by the fleet's capacity. Every class has its
    own random number generator, so that a flood changes no job of the other classes.
    """
    planned = []
    for model in mix.classes:
        planned += _poisson_jobs(
            model, fleet, load * model.share, 0, seconds * 1000, seed
        )
    for number, flood in enumerate(floods):
        model = mix.model(flood.class_name)
        flood_seed = f"{seed} flood {number}"
        planned += _poisson_jobs(
            model, fleet, flood.load, flood.start_ms, flood.end_ms, flood_seed
        )
    for number, burst in enumerate(bursts):
        planned += _burst_jobs(
            mix.model(burst.class_name), burst, f"{seed} burst {number}"
        )
    planned.sort(key=lambda arrival: (arrival[0], arrival[1]))
    return [PlannedJob(number, *arrival) for number, arrival in enumerate(planned)]


def _poisson_jobs(model, fleet, load, start_ms, end_ms, seed):
    rng = random.Random(f"{seed} {model.name}")
    per_second = load * fleet.capacity * 1000 / mean_job_work_ms(model)
    return [
        (due_ms, model.name, model.draw_job(rng))
        for due_ms in poisson_times(rng, per_second, start_ms, end_ms)
    ]


def _burst_jobs(model, burst, seed):
    rng = random.Random(f"{seed} {model.name}")
    return [(burst.at_ms, model.name, model.draw_job(rng)) for _ in range(burst.jobs)]
