"""Retry-After times of rejected jobs, one slot after another for each queue.

Each rejected job reserves the next slot of its queue, so that callers come back in the
order in which they were rejected, and no faster than their work can be started.
"""

import math

# Bursts at the sites last a few seconds, so no caller is sent away for longer.
MAX_RETRY_AFTER_S = 10
# Endpoints and agents that were lost are usually back after this.
NO_ENDPOINT_RETRY_MS = 2_000


class RetrySlots:
    """The next free slot of each queue."""

    def __init__(self, clock):
        self._clock = clock
        self._next_free_ms = {}

    def reserve(self, queue, wait_ms, service_ms):
        """Reserve a slot for a rejected job; return its Retry-After in seconds.

        ``wait_ms`` is how long the work ahead of the job takes now, ``service_ms`` how
        long the job itself takes at the service rate of its queue.
        """
        now_ms = self._clock.now_ms()
        slot_ms = max(self._next_free_ms.get(queue, 0), now_ms + wait_ms) + service_ms
        self._next_free_ms[queue] = min(slot_ms, now_ms + 1_000 * MAX_RETRY_AFTER_S)
        retry_after_s = math.ceil((slot_ms - now_ms) / 1_000)
        return min(max(retry_after_s, 1), MAX_RETRY_AFTER_S)
