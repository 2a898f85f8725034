"""Account of where a process spends its processor time, written to its log.

It is off by default, since the measurement itself roughly doubles the cost of a
function call. Its size is bounded: one line for each interval.
"""

import cProfile
import pstats
import resource

from . import logs

INTERVAL_MS = 5_000
MAX_FUNCTIONS = 45
# Frames of a path that identify a module well enough.
MODULE_PATH_PARTS = 2

log = logs.get_logger("profile")


class Profiler:
    """Measures the calls of the thread that starts it."""

    def __init__(self, clock):
        self._clock = clock
        self._profile = cProfile.Profile()

    def start(self):
        """Measure all calls from now on."""
        self._profile.enable()

    async def run(self):
        """Log the account once in each ``INTERVAL_MS``; never returns."""
        while True:
            await self._clock.sleep_ms(INTERVAL_MS)
            self._write_account()

    def _write_account(self):
        self._profile.disable()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        log.notice(
            "processor time",
            process_ms=round(1_000 * (usage.ru_utime + usage.ru_stime)),
            functions=costliest_functions(self._profile, MAX_FUNCTIONS),
        )
        self._profile.enable()


def costliest_functions(profile, limit):
    """Return rows of a function's name, its calls, and its own and total time in ms.

    The ``limit`` functions with the most time of their own are returned.
    """
    stats = pstats.Stats(profile).stats
    by_own_time = sorted(stats.items(), key=lambda item: item[1][2], reverse=True)
    return [
        [_function_name(function), calls, round(1_000 * own), round(1_000 * total)]
        for function, (_, calls, own, total, _) in by_own_time[:limit]
    ]


def _function_name(function):
    path, line, name = function
    module = "/".join(path.split("/")[-MODULE_PATH_PARTS:])
    return f"{module}:{line} {name}" if line else name
