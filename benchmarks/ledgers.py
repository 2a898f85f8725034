"""Evaluates the ledgers of the endpoint stand-ins: work by class and time.

A ledger is a list of starts, dicts with ``submission``, ``class_name``, ``start_ms``
and ``end_ms``, in ms of wall clock time. ``end_ms`` is falsy while the task runs.
"""

from collections import defaultdict


def work_ms(starts_by_endpoint, fleet, from_ms, to_ms):
    """Return {class name: work in ms} done within [from, to).

    Work is slot time times the endpoint's speed, as in the planned run times. The
    ledgers are in the order of the fleet's endpoints.
    """
    work_by_class_ms = defaultdict(float)
    for endpoint, starts in zip(fleet.endpoints, starts_by_endpoint, strict=True):
        for start in starts:
            end_ms = start["end_ms"] or to_ms
            overlap_ms = min(end_ms, to_ms) - max(start["start_ms"], from_ms)
            if overlap_ms > 0:
                work_by_class_ms[start["class_name"]] += overlap_ms * endpoint.speed
    return dict(work_by_class_ms)


def shares(starts_by_endpoint, fleet, from_ms, to_ms):
    """Return {class name: share of the fleet's capacity used} within [from, to)."""
    capacity_ms = fleet.capacity * (to_ms - from_ms)
    work_by_class_ms = work_ms(starts_by_endpoint, fleet, from_ms, to_ms)
    return {name: done_ms / capacity_ms for name, done_ms in work_by_class_ms.items()}


def count_starts(starts, from_ms, to_ms):
    """Return the number of tasks that started within [from, to)."""
    return sum(from_ms <= start["start_ms"] < to_ms for start in starts)


def submissions_running_at(starts, at_ms):
    """Return the set of submissions with a task that ran at ``at_ms``."""
    return {
        start["submission"]
        for start in starts
        if start["start_ms"] <= at_ms
        and (not start["end_ms"] or start["end_ms"] > at_ms)
    }
