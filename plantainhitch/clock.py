"""The project's clock: steady milliseconds, real or set by hand.

The steady clock goes on while the machine is suspended, so that what was agreed
before a suspension is seen to be over after it.

Decision classes take a ``Clock`` and never read the time in another way, so that
tests can drive them with a ``ManualClock``.
"""

import asyncio
import time

NS_PER_MS = 1_000_000


class Clock:
    """A steady clock in whole milliseconds."""

    def now_ms(self):
        """Return the milliseconds since an arbitrary fixed origin."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS

    def wall_ms(self):
        """Return the milliseconds since the Unix epoch, by the instance's clock.

        For times that are kept or compared across processes; never for durations.
        """
        return time.time_ns() // NS_PER_MS

    async def sleep_ms(self, duration_ms):
        """Suspend the calling task for ``duration_ms`` milliseconds."""
        await asyncio.sleep(duration_ms / 1000)


class ManualClock(Clock):
    """A clock that moves only when ``advance`` is called."""

    def __init__(self, start_ms=0):
        self._now_ms = start_ms

    def now_ms(self):
        """Return the time that has been set."""
        return self._now_ms

    def wall_ms(self):
        """Return the time that has been set."""
        return self._now_ms

    def advance(self, duration_ms):
        """Move the clock forward by ``duration_ms`` milliseconds."""
        if duration_ms < 0:
            raise ValueError(f"a clock can't go back: {duration_ms}")
        self._now_ms += duration_ms

    async def sleep_ms(self, duration_ms):
        """Move the clock forward and let other tasks run."""
        self.advance(duration_ms)
        await asyncio.sleep(0)
