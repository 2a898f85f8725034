"""Jobs of the users' platform: what a caller submits, and the keys of its tasks.

A job has steps, a step has tasks, and each start of a task is a *run* with its own
number.
"""

from dataclasses import dataclass
from typing import NamedTuple


def job_id_of(task_name):
    """Return the id of the job that a task belongs to."""
    return task_name.partition(".")[0]


class RunKey(NamedTuple):
    """Key of a run: the task's name and the number of this start of the task."""

    task: str
    run: int


@dataclass(frozen=True, slots=True)
class Room:
    """An amount of resources: processor (thousandths of a core), memory (MB), GPUs."""

    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def __add__(self, other):
        return Room(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other):
        return Room(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def can_fit(self, other):
        """Return whether ``other`` fits into this room."""
        return (
            self.cpu_millis >= other.cpu_millis
            and self.memory_mb >= other.memory_mb
            and self.gpus >= other.gpus
        )


@dataclass(frozen=True, slots=True)
class StepSpec:
    """One step: ``count`` equal tasks.

    They may start once the steps with the indices in ``after`` are complete.
    ``estimate_ms`` is the caller's rough estimate of a task's run time. The endpoint
    has to carry ``required_label``; ``data_rack`` is the rack on which a task runs
    fastest, and ``max_per_endpoint`` the most tasks of the step that may run on one
    endpoint at a time (0: no limit).
    """

    count: int
    room: Room
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    required_label: str = ""
    data_rack: str = ""
    max_per_endpoint: int = 0
    checkpointing: bool = False


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted; ``payload`` is handed to each of its tasks."""

    job_id: str
    payload: str
    steps: tuple[StepSpec, ...]

    def task_name(self, step, index):
        """Return the name of task ``index`` of ``step``.

        The 0 in it is the number of the job's occurrence; a job has only one.
        """
        return f"{self.job_id}.0.{step}.{index}"
