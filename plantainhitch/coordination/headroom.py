"""Keeps a slot free for a class below its share, within a budget of idle time.

A flood of long tasks would hold every slot when another class arrives, and the
wait for the next free slot could use up that class's target. So the last free slot
is held back from such a flood, but only for a small part of all slot time. Agents
do this at different moments; together they keep a few slots free at any time.
"""

# The part of all slot time that may be kept idle.
IDLE_SHARE = 0.04
BUDGET_WINDOW_MS = 5_000
# How often to look whether a slot is still to be held back.
RESERVE_CHECK_INTERVAL_MS = 20
# A wait for a slot longer than this part of a target calls for headroom.
WORTH_PART_OF_TARGET = 0.1


class Headroom:
    """A budget of idle slot time, spent while a slot is held back."""

    def __init__(self, clock):
        self._clock = clock
        self._budget_ms = 0.0
        self._at_ms = clock.now_ms()
        self._is_reserving = False

    @property
    def is_reserving(self):
        """Whether a slot is being held back."""
        return self._is_reserving

    def reserve_last_slot(self, shares, class_name, free):
        """Return whether to keep the last free slot from the class."""
        if free != 1 and not self._is_reserving:
            return False
        self._settle(shares.slots)
        self._is_reserving = (
            free == 1
            and self._budget_ms > 0
            and not shares.is_below_share(class_name)
            and self._is_worth_it(shares, class_name)
        )
        return self._is_reserving

    def end_reservation(self, slots):
        """Stop holding a slot back."""
        if self._is_reserving:
            self._settle(slots)
            self._is_reserving = False

    def _is_worth_it(self, shares, class_name):
        target_ms = shares.tightest_waiting_target_ms(class_name)
        if target_ms is None:
            return False
        return shares.next_free_ms(class_name) > target_ms * WORTH_PART_OF_TARGET

    def _settle(self, slots):
        now_ms = self._clock.now_ms()
        passed_ms = now_ms - self._at_ms
        self._at_ms = now_ms
        if self._is_reserving:
            self._budget_ms -= passed_ms
        most_ms = IDLE_SHARE * slots * BUDGET_WINDOW_MS
        earned_ms = IDLE_SHARE * slots * passed_ms
        self._budget_ms = min(self._budget_ms + earned_ms, most_ms)
