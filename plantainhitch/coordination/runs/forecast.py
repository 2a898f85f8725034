"""The forecast of an endpoint that its agent sends to owners.

It tells how much room is free now and soon, how much waiting starts need, and how
fast runs progress.
"""

from dataclasses import dataclass

from ...protocol import messages as m
from ...state.jobs import Room
from .run import Phase, may_be_at_endpoint

# The expected time from the order to stop a run until its room is free.
EXPECTED_STOP_MS = 50
# A run that has exceeded its estimate is expected to take this share of it longer.
OVERRUN_SHARE = 0.15
# From this progress on, the remaining time is extrapolated from the elapsed time,
# which is then more accurate than the estimate.
MIN_EXTRAPOLATION_PERCENT = 20
# The minimum total run time from which the pace of an endpoint is computed.
MIN_PACE_SAMPLE_MS = 400


@dataclass(frozen=True, slots=True)
class Forecast:
    """The part of ``RunReports`` that is the same for all owners.

    ``free`` is the room that no run takes up, ``expected_free_millis`` the
    processor expected to be free at each of ``FORECAST_HORIZONS_MS``,
    ``waiting_by_rank`` pairs of a rank and the processor that its waiting starts need,
    and ``pace`` see the function of that name. All amounts of processor are in
    thousandths of a core.
    """

    free: Room
    expected_free_millis: tuple[int, ...]
    waiting_by_rank: tuple[tuple[float, int], ...]
    pace: float

    def has_room_within(self, wait_ms, needed_millis):
        """Return whether ``needed_millis`` are expected to be free in ``wait_ms``."""
        if self.free.cpu_millis >= needed_millis:
            return True
        free_by_horizon = zip(
            m.FORECAST_HORIZONS_MS, self.expected_free_millis, strict=True
        )
        return any(
            cpu_millis >= needed_millis
            for horizon_ms, cpu_millis in free_by_horizon
            if horizon_ms <= wait_ms
        )

    @classmethod
    def from_runs(cls, runs, free, ranks, now_ms):
        """Return the forecast of an endpoint with these runs and ``free`` room."""
        return cls(
            free,
            free_at_horizons(runs, free.cpu_millis, now_ms),
            waiting_by_rank(runs, ranks),
            pace(runs),
        )

    @classmethod
    def from_isolated_runs(cls, runs, capacity_millis, ranks, now_ms):
        """Return the forecast of an endpoint with runs that need isolation.

        Its whole processor becomes free when all runs have ended, and nothing before.
        """
        remaining_ms = max(
            (_remaining_ms(run, now_ms) for run in runs if may_be_at_endpoint(run)),
            default=0,
        )
        expected_free_millis = tuple(
            capacity_millis if remaining_ms <= horizon_ms else 0
            for horizon_ms in m.FORECAST_HORIZONS_MS
        )
        return cls(
            Room(), expected_free_millis, waiting_by_rank(runs, ranks), pace(runs)
        )


def free_at_horizons(runs, free_millis, now_ms):
    """Return the processor expected to be free at each of ``FORECAST_HORIZONS_MS``.

    Runs that have not been started yet are left out.
    """
    expected_free_millis = [free_millis] * len(m.FORECAST_HORIZONS_MS)
    for run in runs:
        if may_be_at_endpoint(run):
            remaining_ms = _remaining_ms(run, now_ms)
            for index, horizon_ms in enumerate(m.FORECAST_HORIZONS_MS):
                if remaining_ms <= horizon_ms:
                    expected_free_millis[index] += run.start.room.cpu_millis
    return tuple(expected_free_millis)


def pace(runs):
    """Return the progress of running runs as a multiple of the expected progress.

    The result is 1.0 while their total run time is below ``MIN_PACE_SAMPLE_MS``.
    """
    expected_ms = elapsed_ms = 0.0
    for run in runs:
        if run.phase is Phase.RUNNING and run.last_progress_ms > run.started_ms:
            expected_ms += run.percent / 100 * run.start.estimate_ms
            elapsed_ms += run.last_progress_ms - run.started_ms
    return expected_ms / elapsed_ms if elapsed_ms >= MIN_PACE_SAMPLE_MS else 1.0


def waiting_by_rank(runs, ranks):
    """Return pairs of a rank and the processor that its waiting starts need."""
    by_rank = {}
    for run in runs:
        if run.phase is Phase.WAITING:
            rank = ranks.rank(run.start.queue, run.start.is_late)
            by_rank[rank] = by_rank.get(rank, 0) + run.start.room.cpu_millis
    return tuple(by_rank.items())


def _remaining_ms(run, now_ms):
    """Return how much longer a run is expected to take up room."""
    if run.phase in (Phase.STOPPING, Phase.UNCONFIRMED):
        return EXPECTED_STOP_MS
    estimate_ms = run.start.estimate_ms
    elapsed_ms = now_ms - run.started_ms
    if run.percent >= MIN_EXTRAPOLATION_PERCENT:
        projected_ms = (run.last_progress_ms - run.started_ms) * 100 / run.percent
        return max(projected_ms - elapsed_ms, 0)
    return max(estimate_ms - elapsed_ms, estimate_ms * OVERRUN_SHARE)
