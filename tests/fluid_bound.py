"""An upper estimate of the value that a fleet can earn from given jobs.

All capacity is pooled and can be divided at will. The most value per unit of work, by
the mean of each kind of job, goes first; within a kind, the earliest due.
"""

STEP_MS = 20


def fluid_bound(answers, capacity_millis):
    """Return the value that could be earned, as a part of the value of all jobs.

    ``answers`` are the ``Answer`` objects of a simulation, ``capacity_millis`` the
    fleet's processor at slowness 1, in thousandths of a core, or a function from a
    time in ms to it. A part of a job that is served by its objective earns that part
    of the job's value.
    """
    by_kind = {}
    for answer in answers:
        by_kind.setdefault(answer.kind.route.name, []).append(answer)
    kinds = sorted(by_kind.values(), key=_value_per_work, reverse=True)
    begin_ms = min(answer.submitted_ms for answer in answers)
    end_ms = max(answer.submitted_ms + answer.objective_ms for answer in answers)
    steps = int((end_ms - begin_ms) / STEP_MS) + 1
    if not callable(capacity_millis):
        constant_millis = capacity_millis
        capacity_millis = lambda _: constant_millis  # noqa: E731
    free = [
        capacity_millis(begin_ms + step * STEP_MS) * STEP_MS / 1_000
        for step in range(steps)
    ]
    earned = total = 0.0
    for kind in kinds:
        for answer in sorted(kind, key=lambda a: a.submitted_ms + a.objective_ms):
            first = int((answer.submitted_ms - begin_ms) / STEP_MS)
            last = int((answer.submitted_ms + answer.objective_ms - begin_ms) / STEP_MS)
            left = answer.work_core_ms
            for step in range(first, last):
                taken = min(left, free[step])
                free[step] -= taken
                left -= taken
                if left <= 0:
                    break
            earned += answer.kind.weight * (1 - left / answer.work_core_ms)
            total += answer.kind.weight
    return earned / total


def _value_per_work(answers):
    value = sum(answer.kind.weight for answer in answers)
    return value / sum(answer.work_core_ms for answer in answers)
