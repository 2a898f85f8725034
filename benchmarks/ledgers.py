"""What the endpoint stand-ins' ledgers say: work done, by class and over time."""

from collections import defaultdict


def work_ms(starts_by_endpoint, fleet, from_ms, to_ms):
    """Return the work in ms done within [from, to) for each class, by wall clock.

    Work is slot time times the endpoint's speed, as in the planned run times.
    """
    busy = defaultdict(float)
    for endpoint, starts in zip(fleet.endpoints, starts_by_endpoint, strict=True):
        for start in starts:
            end_ms = start["end_ms"] or to_ms
            overlap_ms = min(end_ms, to_ms) - max(start["start_ms"], from_ms)
            if overlap_ms > 0:
                busy[start["class_name"]] += overlap_ms * endpoint.speed
    return dict(busy)


def shares(starts_by_endpoint, fleet, from_ms, to_ms):
    """Return each class's part of the fleet's capacity within [from, to)."""
    whole_ms = fleet.capacity * (to_ms - from_ms)
    done = work_ms(starts_by_endpoint, fleet, from_ms, to_ms)
    return {name: done_ms / whole_ms for name, done_ms in done.items()}


def count_between(starts, from_ms, to_ms):
    """Return how many tasks started within [from, to)."""
    return sum(from_ms <= start["start_ms"] < to_ms for start in starts)


def running_at(starts, at_ms):
    """Return the submissions with a task that ran at a moment."""
    return {
        start["submission"]
        for start in starts
        if start["start_ms"] <= at_ms
        and (not start["end_ms"] or start["end_ms"] > at_ms)
    }
