"""Seeded random models of the workloads that client systems send.

Run times are in ms on an endpoint of speed 1; an endpoint of speed 2 needs half as
long. A class's arrival rate is given as its share of the offered work, so that a mix
has the same proportions at any load.
"""

import functools
import math
import random
from dataclasses import dataclass

SHORTEST_TASK_MS = 50
LONGEST_COMMON_TASK_MS = 1_000
SLOWEST_TASKS_MS = (2_000, 6_000)
LARGEST_DECLARED_ERROR = 5.0


@dataclass(frozen=True, slots=True)
class RunTimeDistribution:
    """Run times: lognormal, clamped to 50 ms to 1 s, a few of them 2 to 6 s."""

    median_ms: float = 200.0
    sigma: float = 0.7
    slow_share: float = 0.01

    def draw(self, rng):
        """Return one run time in ms."""
        if rng.random() < self.slow_share:
            return rng.uniform(*SLOWEST_TASKS_MS)
        drawn = rng.lognormvariate(math.log(self.median_ms), self.sigma)
        return min(max(drawn, SHORTEST_TASK_MS), LONGEST_COMMON_TASK_MS)


@dataclass(frozen=True, slots=True)
class ClassModel:
    """A class's share of the work, its run times, job sizes and target.

    Job sizes are log-uniform from ``smallest_job`` to ``largest_job`` tasks.
    The target's fields are those of ``state.classes.ClassDefinition``.
    """

    name: str
    share: float
    run_times: RunTimeDistribution
    smallest_job: int
    largest_job: int
    answers_within_ms: int
    quantile: float
    claims_at_least: float
    repeatable: bool = False

    def draw_job(self, rng):
        """Return the tasks of one job of random size, as a tuple of ``PlannedTask``."""
        return self.draw_tasks(rng, self._draw_size(rng))

    def draw_tasks(self, rng, count):
        """Return ``count`` tasks with random run times and inaccurate estimates."""
        return tuple(
            PlannedTask.draw(index, self.run_times, rng) for index in range(count)
        )

    def _draw_size(self, rng):
        low, high = math.log(self.smallest_job), math.log(self.largest_job + 1)
        size = int(math.exp(rng.uniform(low, high)))
        return min(max(size, self.smallest_job), self.largest_job)


@dataclass(frozen=True, slots=True)
class PlannedTask:
    """One task: its true run time and the one that its caller declares, in ms."""

    index: int
    run_ms: float
    declared_ms: int

    @classmethod
    def draw(cls, index, run_times, rng):
        """Return a task; its declared time is wrong by a factor of 1/5 to 5."""
        run_ms = run_times.draw(rng)
        error_factor = LARGEST_DECLARED_ERROR ** rng.uniform(-1.0, 1.0)
        return cls(index, run_ms, max(1, round(run_ms * error_factor)))


@dataclass(frozen=True, slots=True)
class Mix:
    """The classes of a workload; their shares of the offered work add up to 1."""

    name: str
    classes: tuple[ClassModel, ...]

    def model(self, class_name):
        """Return the model called ``class_name``."""
        for model in self.classes:
            if model.name == class_name:
                return model
        raise ValueError(f"no class {class_name!r} in the mix {self.name!r}")

    @property
    def by_urgency(self):
        """The classes, those with the shortest target response time first."""
        return sorted(self.classes, key=lambda model: model.answers_within_ms)


TICKMARK = Mix(
    "tickmark",
    (
        ClassModel(
            "sync", 0.30, RunTimeDistribution(150, 0.6, 0.0), 10, 100, 3_000, 0.99, 0.35
        ),
        ClassModel(
            "ping", 0.20, RunTimeDistribution(80, 0.4, 0.0), 1, 10, 5_000, 0.99, 0.15
        ),
        ClassModel(
            "render",
            0.50,
            RunTimeDistribution(220, 0.7, 0.02),
            1,
            40,
            8_000,
            0.95,
            0.30,
            True,
        ),
    ),
)

CANEGROVE = Mix(
    "canegrove",
    (
        ClassModel(
            "freight", 0.15, RunTimeDistribution(180, 0.5, 0.0), 1, 4, 3_000, 0.99, 0.20
        ),
        ClassModel(
            "quote",
            0.55,
            RunTimeDistribution(250, 0.7, 0.002),
            1,
            100,
            4_000,
            0.99,
            0.40,
            True,
        ),
        ClassModel(
            "stock",
            0.30,
            RunTimeDistribution(120, 0.6, 0.02),
            1,
            50,
            8_000,
            0.95,
            0.20,
            True,
        ),
    ),
)

MIXES = {mix.name: mix for mix in (TICKMARK, CANEGROVE)}


@functools.cache
def mean_job_work_ms(model, seed=0, samples=2_000):
    """Return the mean work of the class's jobs, in ms at speed 1."""
    rng = random.Random(f"mean work of {model.name} by {seed}")
    total = sum(task.run_ms for _ in range(samples) for task in model.draw_job(rng))
    return total / samples
