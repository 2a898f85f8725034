"""Records which runs may have caused a crash of the endpoint."""

from collections import deque

from ...state.crashes import CrashedRun, EndpointCrash

# A run that was stopped may still crash its endpoint for this long.
CRASH_DELAY_MS = 500
MAX_STOPPED_RUNS = 50


class CrashSuspects:
    """The runs that ended lately at the present lifetime of the endpoint."""

    def __init__(self, clock):
        self._clock = clock
        # The last runs that ended other than done, with their times.
        self._stopped_runs = deque(maxlen=MAX_STOPPED_RUNS)

    def run_stopped(self, run):
        """Record a run that was at the endpoint and ended other than done."""
        self._stopped_runs.append((self._clock.now_ms(), run))

    def clear(self):
        """Forget the runs of a lifetime that is over."""
        self._stopped_runs.clear()

    def crash_of(self, endpoint, runs_at_endpoint):
        """Return the ``EndpointCrash`` of a lifetime that ended without notice.

        Only runs that are known to have begun count as certainly running in it.
        """
        now_ms = self._clock.now_ms()
        runs = [
            *(_crashed_run(run, now_ms, run.has_begun) for run in runs_at_endpoint),
            *(
                _crashed_run(run, now_ms, was_running=False)
                for ended_ms, run in self._stopped_runs
                if now_ms - ended_ms <= CRASH_DELAY_MS
            ),
        ]
        return EndpointCrash(endpoint.endpoint_id, endpoint.born_ms, tuple(runs))


def _crashed_run(run, now_ms, was_running):
    start = run.start
    return CrashedRun(start.key.task, start.queue, now_ms - run.started_ms, was_running)
