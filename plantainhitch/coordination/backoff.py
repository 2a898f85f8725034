"""Delays between attempts: exponential backoff with jitter, and polling."""

import random

FIRST_DELAY_MS = 200
MAX_DELAY_MS = 10_000
POLL_JITTER = 0.1


class Backoff:
    """Computes the delays, in ms, of one series of attempts.

    The maximum of a delay doubles with each failure, from ``first_delay_ms`` up to
    ``max_delay_ms``. Call ``reset`` after a success. ``draw()`` returns random numbers
    from 0 to 1.
    """

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
        """Number of failures, each with a delay drawn, since the last success."""
        return self._failures

    def next_delay_ms(self):
        """Return the next delay; its maximum doubles with each call."""
        ceiling_ms = min(
            self._max_delay_ms, self._first_delay_ms * 2 ** min(self._failures, 20)
        )
        self._failures += 1
        # At least a quarter of the maximum: several small draws in a row would
        # otherwise cause a retry storm.
        return round(ceiling_ms * (0.25 + 0.75 * self._draw()))

    def reset(self):
        """Start over with the first delay; call this after a success."""
        self._failures = 0


async def poll(clock, interval_ms, refresh, backoff=None, draw=random.random):
    """Call ``await refresh()`` forever: every interval, less often while it fails.

    ``refresh`` returns whether it succeeded. After failures the delay grows up to the
    maximum of the backoff, so that a failing store is polled less often; it is never
    shorter than the interval.
    """
    backoff = backoff or Backoff(first_delay_ms=interval_ms)
    while True:
        if await refresh():
            backoff.reset()
            jitter = 1 + POLL_JITTER * (2 * draw() - 1)
            await clock.sleep_ms(round(interval_ms * jitter))
        else:
            await clock.sleep_ms(max(interval_ms, backoff.next_delay_ms()))
