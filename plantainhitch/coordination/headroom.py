"""Reserves a free slot for classes below their share, on a budget of idle slot time.

A flood of long tasks would occupy every slot when tasks of another class arrive, and
the wait for the next free slot could use up that class's target. Therefore the last
free slot is withheld from such a flood, for a small part of all slot time. Agents do
this independently, at different times, so the fleet has a few free slots at any time.
"""

# The share of all slot time that reservations may leave idle.
IDLE_SHARE = 0.04
BUDGET_WINDOW_MS = 5_000
# How often the agent checks whether the reservation still holds.
RESERVE_CHECK_INTERVAL_MS = 20
# A slot is reserved only if the expected wait exceeds this part of a target.
MIN_WAIT_TARGET_RATIO = 0.1


class Headroom:
    """A budget of idle slot time, in slot-ms, spent while a slot is reserved."""

    def __init__(self, clock):
        self._clock = clock
        self._budget_ms = 0.0
        self._updated_ms = clock.now_ms()
        self._is_reserving = False

    @property
    def is_reserving(self):
        """Whether a slot is reserved at present."""
        return self._is_reserving

    def reserve_last_slot(self, shares, class_name, free_slots):
        """Return whether the last free slot is reserved, that is, denied to the class.

        ``shares`` are the endpoint's ``FairShares``, ``free_slots`` the number of
        its free slots.
        """
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
        """End the reservation, if any; ``slots`` is the endpoint's slot count."""
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
