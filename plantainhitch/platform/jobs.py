"""The body of a job as callers send it."""

import msgspec

from ..state.jobs import JobSpec, Room, StepSpec

MAX_TASKS = 10_000


class UnsupportedJobError(ValueError):
    """The job asks for something that this version does not do."""


class _StepModel(msgspec.Struct):
    count: int = 1
    cpu: int = 0  # thousandths of a core
    mem_mb: int = 0
    gpu: int = 0
    est_runtime_ms: float = 0
    after: list[int] = []
    constraints: str = ""  # one label, despite the plural
    affinity: str = ""  # the rack of the data
    anti_affinity: int = 0  # most tasks of the step on one endpoint
    checkpointing: bool = False
    gang: bool = False
    long_running: bool = False
    fills: bool = False


class _JobModel(msgspec.Struct):
    spec: str = ""  # handed to each task as it is
    steps: list[_StepModel] = []
    best_effort: bool = False  # answered when it has ended, and not stored
    long_running: bool = False
    repeat_count: int = 0


def decode(job_id, body):
    """Return the ``JobSpec`` in a request's body.

    Raises ValueError where the body is bad, ``UnsupportedJobError`` where it is well
    formed and asks for what is not served.
    """
    model = msgspec.json.decode(body, type=_JobModel)
    if not model.steps:
        raise ValueError("steps: at least one is needed")
    steps = tuple(_step(number, step) for number, step in enumerate(model.steps))
    if sum(step.count for step in steps) > MAX_TASKS:
        raise ValueError(f"steps: more than {MAX_TASKS} tasks")
    _refuse_unsupported(model)
    return JobSpec(job_id, model.spec, steps)


def _refuse_unsupported(model):
    if not model.best_effort:
        raise UnsupportedJobError("jobs that have to be stored")
    if model.long_running or model.repeat_count:
        raise UnsupportedJobError("long_running and repeat_count")
    for step in model.steps:
        if step.gang or step.long_running or step.fills:
            raise UnsupportedJobError("steps with gang, long_running or fills")


def _step(number, model):
    if model.count < 1:
        raise ValueError(f"steps[{number}].count: {model.count} is below 1")
    for earlier in model.after:
        if not 0 <= earlier < number:
            raise ValueError(f"steps[{number}].after: {earlier} is no earlier step")
    if min(model.cpu, model.mem_mb, model.gpu) < 0:
        raise ValueError(f"steps[{number}]: a negative amount of room")
    return StepSpec(
        count=model.count,
        room=Room(model.cpu, model.mem_mb, model.gpu),
        estimate_ms=round(model.est_runtime_ms),
        after=tuple(model.after),
        required_label=model.constraints,
        data_rack=model.affinity,
        max_per_endpoint=model.anti_affinity,
        checkpointing=model.checkpointing,
    )
