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
MIN_WAIT_TARGET_RATIO = 0.1


class Headroom:
    """A budget of idle slot time, spent while a slot is held back."""

    def __init__(self, clock):
        self._clock = clock
        self._budget_ms = 0.0
        self._updated_ms = clock.now_ms()
        self._is_reserving = False

    @property
    def is_reserving(self):
        """Whether a slot is being held back."""
        return self._is_reserving

    def reserve_last_slot(self, shares, class_name, free_slots):
        """Return whether to keep the last free slot from the class."""
        if free_slots != 1 and not self._is_reserving:
            return False
        self._update_budget(shares.slots)
        self._is_reserving = (
            free_slots == 1
            and self._budget_ms > 0
            and not shares.is_below_share(class_name)
            and self._is_wait_significant(shares, class_name)
        )
        return self._is_reserving

    def end_reservation(self, slots):
        """Stop holding a slot back."""
        if self._is_reserving:
            self._update_budget(slots)
            self._is_reserving = False

    def _is_wait_significant(self, shares, class_name):
        target_ms = shares.tightest_target_below_share_ms(class_name)
        if target_ms is None:
            return False
        return (
            shares.expected_slot_wait_ms(class_name) > target_ms * MIN_WAIT_TARGET_RATIO
        )

    def _update_budget(self, slots):
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._updated_ms
        self._updated_ms = now_ms
        if self._is_reserving:
            self._budget_ms -= elapsed_ms
        max_budget_ms = IDLE_SHARE * slots * BUDGET_WINDOW_MS
        earned_ms = IDLE_SHARE * slots * elapsed_ms
        self._budget_ms = min(self._budget_ms + earned_ms, max_budget_ms)
