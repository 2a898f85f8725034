"""Waiting between attempts: growing, jittered, never past a deadline."""

import random

FIRST_MS = 50
MAX_MS = 5_000


class Backoff:
    """Waits that double from ``FIRST_MS`` to ``MAX_MS``, each by half at random.

    ``deadline_ms`` is on the clock that is given.
    """

    def __init__(self, clock, deadline_ms, random_source=None):
        self._clock = clock
        self._deadline_ms = deadline_ms
        self._random = random_source or random.Random()
        self._next_ms = FIRST_MS

    @property
    def left_ms(self):
        """Milliseconds until the deadline, 0 once it has passed."""
        return max(0, self._deadline_ms - self._clock.now_ms())

    def reset(self):
        """Begin again with short waits."""
        self._next_ms = FIRST_MS

    async def wait(self, at_least_ms=0):
        """Wait; return False, at once, where the deadline would pass meanwhile."""
        jittered_ms = self._next_ms * self._random.uniform(0.5, 1.0)
        wait_ms = max(at_least_ms, jittered_ms)
        self._next_ms = min(self._next_ms * 2, MAX_MS)
        if wait_ms >= self.left_ms:
            return False
        await self._clock.sleep_ms(wait_ms)
        return True
