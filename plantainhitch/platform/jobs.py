"""Decodes the body with which callers submit a job."""

from typing import Annotated

import msgspec

from ..json_input import decode_json
from ..state.jobs import JobSpec, Room, StepSpec

MAX_TASKS = 10_000


class UnsupportedJobError(ValueError):
    """The job requires a feature that is not supported."""


_Amount = Annotated[int, msgspec.Meta(le=2**31 - 1)]
_Ms = Annotated[float, msgspec.Meta(ge=0, le=2**31 - 1)]


class _StepModel(msgspec.Struct):
    count: int = 1
    cpu: _Amount = 0  # thousandths of a core
    mem_mb: _Amount = 0
    gpu: _Amount = 0
    est_runtime_ms: _Ms = 0
    after: list[int] = []
    constraints: str = ""  # one label, despite the plural
    affinity: str = ""  # the rack that holds the data
    anti_affinity: int = 0  # maximum number of the step's tasks on one endpoint
    checkpointing: bool = False
    gang: bool = False
    long_running: bool = False
    fills: bool = False


class _JobModel(msgspec.Struct):
    spec: str = ""  # passed to each task unchanged
    steps: list[_StepModel] = []
    best_effort: bool = False  # not stored; answered when it has ended
    long_running: bool = False
    repeat_count: int = 0


def decode(job_id, body):
    """Return the ``JobSpec`` in the body of a request.

    Raises ValueError if the body is invalid, and ``UnsupportedJobError`` if it is valid
    but requires a feature that is not supported.
    """
    model = decode_json(body, _JobModel)
    if not model.steps:
        raise ValueError("steps: at least one is needed")
    steps = tuple(_to_step(number, step) for number, step in enumerate(model.steps))
    if sum(step.count for step in steps) > MAX_TASKS:
        raise ValueError(f"steps: more than {MAX_TASKS} tasks")
    _check_supported(model)
    return JobSpec(job_id, model.spec, steps)


def _check_supported(model):
    if not model.best_effort:
        raise UnsupportedJobError("jobs that have to be stored")
    if model.long_running or model.repeat_count:
        raise UnsupportedJobError("long_running and repeat_count")
    for step in model.steps:
        if step.gang or step.long_running or step.fills:
            raise UnsupportedJobError("steps with gang, long_running or fills")


def _to_step(number, model):
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
