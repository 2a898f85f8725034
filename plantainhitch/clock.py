"""Monotonic and wall-clock time in milliseconds, from the system or set by a test.

The monotonic clock counts the time during which the machine is suspended, so that
leases and deadlines that pass during a suspension have expired after it.

Classes that make decisions read the time only from a ``Clock`` passed to them, so that
tests can drive them with a ``ManualClock``.
"""

import asyncio
import time

NS_PER_MS = 1_000_000


class Clock:
    """The system's clocks in whole milliseconds."""

    def now_ms(self):
        """Return the monotonic time in ms since an arbitrary fixed origin."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS

    def wall_ms(self):
        """Return the milliseconds since the Unix epoch, by the instance's clock.

        For times that are stored or compared across processes, never for durations:
        this clock may be set back or forward.
        """
        return time.time_ns() // NS_PER_MS

    async def sleep_ms(self, duration_ms):
        """Suspend the calling task for ``duration_ms`` milliseconds."""
        await asyncio.sleep(duration_ms / 1000)


class ManualClock(Clock):
    """A clock for tests that advances only by ``advance`` and ``sleep_ms``."""

    def __init__(self, start_ms=0):
        self._now_ms = start_ms

    def now_ms(self):
        """Return the time that the clock was advanced to."""
        return self._now_ms

    def wall_ms(self):
        """Return the time that the clock was advanced to."""
        return self._now_ms

    def advance(self, duration_ms):
        """Advance the clock by ``duration_ms``; raise ValueError if it is negative."""
        if duration_ms < 0:
            raise ValueError(
                f"can't advance by a negative duration (ms): {duration_ms}"
            )
        self._now_ms += duration_ms

    async def sleep_ms(self, duration_ms):
        """Advance the clock and let other tasks run once."""
        self.advance(duration_ms)
        await asyncio.sleep(0)
