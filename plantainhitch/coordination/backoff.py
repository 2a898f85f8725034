"""Waiting between tries: exponential backoff with full jitter, and polling."""

import random

FIRST_DELAY_MS = 200
MAX_DELAY_MS = 10_000
POLL_JITTER = 0.1


class Backoff:
    """Draws the waits of one sequence of tries; ``reset`` after a success."""

    def __init__(
        self,
        first_delay_ms=FIRST_DELAY_MS,
        max_delay_ms=MAX_DELAY_MS,
        draw=random.random,
    ):
        self._first_delay_ms = first_delay_ms
        self._max_delay_ms = max_delay_ms
        self._draw = draw
        self._failures = 0

    @property
    def failures(self):
        """Failures since the last success."""
        return self._failures

    def next_delay_ms(self):
        """Return the next wait: up to twice as long as the one before."""
        ceiling_ms = min(
            self._max_delay_ms, self._first_delay_ms * 2 ** min(self._failures, 20)
        )
        self._failures += 1
        # At least a quarter, so that a row of small draws is no retry storm.
        return round(ceiling_ms * (0.25 + 0.75 * self._draw()))

    def reset(self):
        """Start over after a success."""
        self._failures = 0


async def poll(clock, interval_ms, refresh, backoff=None, draw=random.random):
    """Call ``await refresh()`` for ever: each interval, later while it fails.

    ``refresh`` returns whether it worked. A failing store is asked less and less
    often, up to the backoff's limit, and never more often than when it works.
    """
    backoff = backoff or Backoff(first_delay_ms=interval_ms)
    while True:
        if await refresh():
            backoff.reset()
            jitter = 1 + POLL_JITTER * (2 * draw() - 1)
            await clock.sleep_ms(round(interval_ms * jitter))
        else:
            await clock.sleep_ms(max(interval_ms, backoff.next_delay_ms()))
