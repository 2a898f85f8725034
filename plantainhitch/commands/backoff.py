"""Exponential backoff with jitter and a deadline, for calls to an entry."""

import random

FIRST_MS = 50
MAX_MS = 5_000


class Backoff:
    """Waits that double from ``FIRST_MS`` to ``MAX_MS``, each with a random factor.

    The factor is between 0.5 and 1. ``deadline_ms`` is a time on ``clock``.
    """

    def __init__(self, clock, deadline_ms, random_source=None):
        self._clock = clock
        self._deadline_ms = deadline_ms
        self._random = random_source or random.Random()
        self._next_ms = FIRST_MS

    @property
    def left_ms(self):
        """Milliseconds until the deadline, 0 after it."""
        return max(0, self._deadline_ms - self._clock.now_ms())

    def reset(self):
        """Start again with the shortest wait."""
        self._next_ms = FIRST_MS

    async def wait(self, at_least_ms=0):
        """Wait; return False, without a wait, if it would pass the deadline.

        The wait is ``at_least_ms`` or longer.
        """
        jittered_ms = self._next_ms * self._random.uniform(0.5, 1.0)
        wait_ms = max(at_least_ms, jittered_ms)
        self._next_ms = min(self._next_ms * 2, MAX_MS)
        if wait_ms >= self.left_ms:
            return False
        await self._clock.sleep_ms(wait_ms)
        return True
