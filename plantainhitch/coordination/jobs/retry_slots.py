"""When callers that were refused should come back: in turn, as room is expected.

Each refusal takes the next slot of its queue, so that callers return in the order of
their refusals and no faster than their work can be begun.
"""

import math

# Bursts of the sites last a few seconds; nobody is sent away for longer than that.
MAX_RETRY_AFTER_S = 10
# Endpoints and agents that were lost are usually back after this.
NO_ENDPOINT_MS = 2_000


class RetrySlots:
    """The next free slot of each queue."""

    def __init__(self, clock):
        self._clock = clock
        self._next_ms = {}

    def take(self, queue, wait_ms, work_ms):
        """Return the Retry-After of a refused job in seconds.

        ``wait_ms`` is how long the work ahead takes now, ``work_ms`` how long this job
        would take of what is left for its queue.
        """
        now_ms = self._clock.now_ms()
        slot_ms = max(self._next_ms.get(queue, 0), now_ms + wait_ms) + work_ms
        self._next_ms[queue] = min(slot_ms, now_ms + 1_000 * MAX_RETRY_AFTER_S)
        after_s = math.ceil((slot_ms - now_ms) / 1_000)
        return min(max(after_s, 1), MAX_RETRY_AFTER_S)
