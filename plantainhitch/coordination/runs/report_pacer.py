"""Whom an agent tells of its room, and when.

Room that all owners hear of at once is sent for by all of them, and all but one
come for nothing. So owners are told in turn, each of the room as it is then.
"""

# Each owner hears of a change after at most this, times the square of their number:
# each report costs work at an owner, and fleets grow with owners.
INTERVAL_MS = 1.4
# While more than this share of the processor is free, no start has to wait, and the
# room is told so many times more rarely.
PLENTY_SHARE = 0.5
PLENTY_FACTOR = 4


class ReportPacer:
    """What each owner was told of the free room, and whose turn it is."""

    def __init__(self, clock):
        self._clock = clock
        # By owner: the room and the time of the last report.
        self._told = {}
        self._last_ms = 0

    def record_sent(self, owner, free):
        """Note that a report with this free ``Room`` goes to an owner."""
        self._told[owner] = free, self._clock.now_ms()

    def remove_owner(self, owner):
        """Forget an owner whose link has ended."""
        self._told.pop(owner, None)

    def next_owner(self, free, capacity_millis):
        """Return the owner that is to be told of the free room now, or None."""
        behind = [
            (told_ms, owner)
            for owner, (known, told_ms) in self._told.items()
            if known != free
        ]
        if not behind:
            return None
        step_ms = INTERVAL_MS * len(self._told)
        if free.cpu_millis > PLENTY_SHARE * capacity_millis:
            step_ms *= PLENTY_FACTOR
        now_ms = self._clock.now_ms()
        if now_ms - self._last_ms < step_ms:
            return None
        self._last_ms = now_ms
        return min(behind)[1]
