"""What an agent foretells of its endpoint: when room will be free, and its pace."""

from dataclasses import dataclass

from ...protocol import messages as m
from ...state.jobs import Room
from .run import Phase, may_be_at_endpoint

# A run that is being stopped is expected to be gone after this.
STOP_MS = 50
# A run that has outlasted its estimate is expected to take this share of it longer.
OVERRUN_SHARE = 0.15
# From this progress on, the time so far says more than the estimate.
TELLING_PERCENT = 20
# The run time that it takes to judge the pace of an endpoint.
PACE_MIN_MS = 400


@dataclass(frozen=True, slots=True)
class Forecast:
    """What all owners are told alike; the fields are those of ``RunReports``."""

    free: Room
    soon: tuple[int, ...]
    waiting: tuple[tuple[float, int], ...]
    pace: float

    def has_room_within(self, wait_ms, need_millis):
        """Return whether so much processor is expected to be free in time."""
        if self.free.cpu_millis >= need_millis:
            return True
        in_time = zip(m.HORIZONS_MS, self.soon, strict=True)
        return any(
            cpu_millis >= need_millis
            for horizon_ms, cpu_millis in in_time
            if horizon_ms <= wait_ms
        )

    @classmethod
    def from_runs(cls, runs, free, ranks, now_ms):
        """Return the outlook of an endpoint with ``free`` room beside its runs."""
        return cls(
            free,
            free_soon(runs, free.cpu_millis, now_ms),
            waiting_by_rank(runs, ranks),
            pace(runs),
        )


def free_soon(runs, free_millis, now_ms):
    """Return the processor expected to be free at each of ``HORIZONS_MS``."""
    soon = [free_millis] * len(m.HORIZONS_MS)
    for run in runs:
        if may_be_at_endpoint(run):
            left_ms = _left_ms(run, now_ms)
            for number, horizon_ms in enumerate(m.HORIZONS_MS):
                if left_ms <= horizon_ms:
                    soon[number] += run.start.room.cpu_millis
    return tuple(soon)


def pace(runs):
    """Return how fast runs get on, as a part of what was expected of them.

    1 where too few have run long enough to tell.
    """
    expected_ms = spent_ms = 0.0
    for run in runs:
        if run.phase is Phase.RUNNING and run.last_progress_ms > run.started_ms:
            expected_ms += run.percent / 100 * run.start.estimate_ms
            spent_ms += run.last_progress_ms - run.started_ms
    return expected_ms / spent_ms if spent_ms >= PACE_MIN_MS else 1.0


def waiting_by_rank(runs, ranks):
    """Return the processor that waiting starts need, by rank."""
    by_rank = {}
    for run in runs:
        if run.phase is Phase.WAITING:
            rank = ranks.rank(run.start.queue, run.start.is_late)
            by_rank[rank] = by_rank.get(rank, 0) + run.start.room.cpu_millis
    return tuple(by_rank.items())


def _left_ms(run, now_ms):
    """Return how much longer a run is expected to take."""
    if run.phase in (Phase.STOPPING, Phase.UNCONFIRMED):
        return STOP_MS
    estimate_ms = run.start.estimate_ms
    spent_ms = now_ms - run.started_ms
    if run.percent >= TELLING_PERCENT:
        whole_ms = (run.last_progress_ms - run.started_ms) * 100 / run.percent
        return max(whole_ms - spent_ms, 0)
    return max(estimate_ms - spent_ms, estimate_ms * OVERRUN_SHARE)
