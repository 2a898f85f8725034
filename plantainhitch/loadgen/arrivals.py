"""Open-loop arrivals: when each job is due, whatever became of the ones before.

A job's response is counted from its due time, so a client that falls behind adds
to the response it reports and can't hide it.
"""

import random
from dataclasses import dataclass

from .workloads import PlannedTask, mean_job_work_ms


@dataclass(frozen=True, slots=True)
class PlannedJob:
    """A job, its due time in ms from the start, and its tasks."""

    number: int
    due_ms: float
    class_name: str
    tasks: tuple[PlannedTask, ...]

    @property
    def work_ms(self):
        """The job's work on an endpoint of speed 1."""
        return sum(task.run_ms for task in self.tasks)


@dataclass(frozen=True, slots=True)
class Flood:
    """Extra arrivals of one class at ``load`` times the fleet's capacity."""

    class_name: str
    load: float
    start_ms: float
    end_ms: float


@dataclass(frozen=True, slots=True)
class Burst:
    """``jobs`` jobs of a class that are all due at once."""

    class_name: str
    jobs: int
    at_ms: float


def poisson_times(random_source, per_second, start_ms, end_ms):
    """Yield the times in ms of a Poisson process within [start, end)."""
    if per_second <= 0:
        return
    now_ms = start_ms
    while True:
        now_ms += random_source.expovariate(per_second) * 1000
        if now_ms >= end_ms:
            return
        yield now_ms


def plan_jobs(mix, fleet, load, seconds, seed, *, floods=(), bursts=()):
    """Return the jobs of a run, by due time.

    ``load`` is the offered work against the fleet's capacity. Every class draws
    from its own source, so adding a flood changes no job of the other classes.
    """
    drafts = []
    for model in mix.classes:
        drafts += _steady(model, fleet, load * model.share, 0, seconds * 1000, seed)
    for number, flood in enumerate(floods):
        model = mix.model(flood.class_name)
        tag = f"{seed} flood {number}"
        drafts += _steady(model, fleet, flood.load, flood.start_ms, flood.end_ms, tag)
    for number, burst in enumerate(bursts):
        drafts += _burst(mix.model(burst.class_name), burst, f"{seed} burst {number}")
    drafts.sort(key=lambda draft: (draft[0], draft[1]))
    return [PlannedJob(number, *draft) for number, draft in enumerate(drafts)]


def _steady(model, fleet, load, start_ms, end_ms, seed):
    random_source = random.Random(f"{seed} {model.name}")
    per_second = load * fleet.capacity * 1000 / mean_job_work_ms(model)
    return [
        (due_ms, model.name, model.draw_job(random_source))
        for due_ms in poisson_times(random_source, per_second, start_ms, end_ms)
    ]


def _burst(model, burst, seed):
    random_source = random.Random(f"{seed} {model.name}")
    return [
        (burst.at_ms, model.name, model.draw_job(random_source))
        for _ in range(burst.jobs)
    ]
