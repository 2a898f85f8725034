"""What the endpoint stand-ins' ledgers say: slots in use, by class and over time."""

from collections import defaultdict


def busy_ms(starts_by_endpoint, from_ms, to_ms):
    """Return the slot time in ms within [from, to) of each class, by wall clock."""
    busy = defaultdict(float)
    for starts in starts_by_endpoint:
        for start in starts:
            end_ms = start["end_ms"] or to_ms
            overlap_ms = min(end_ms, to_ms) - max(start["start_ms"], from_ms)
            if overlap_ms > 0:
                busy[start["class_name"]] += overlap_ms
    return dict(busy)


def shares(starts_by_endpoint, slots, from_ms, to_ms):
    """Return each class's part of all slot time within [from, to)."""
    whole_ms = slots * (to_ms - from_ms)
    busy = busy_ms(starts_by_endpoint, from_ms, to_ms)
    return {name: time_ms / whole_ms for name, time_ms in busy.items()}


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
