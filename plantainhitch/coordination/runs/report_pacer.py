"""Decides which owner an agent reports its free room to, and when.

If all owners learned of free room at the same time, all would send starts for it, and
all but one would be refused. So owners are reported to in turn, each with the room
that is free at that time.
"""

# The interval between reports is this times the square of the number of owners. With
# more owners, each has a smaller part of the load and more agents to choose from, so
# that it needs no report as fresh, and each report costs it processor time.
INTERVAL_PER_SQUARED_OWNERS_MS = 0.35
# While more than this share of the processor is free, no start has to wait for room.
# The interval is then longer by the factor.
PLENTIFUL_SHARE = 0.5
PLENTIFUL_INTERVAL_FACTOR = 4
# The least time between two reports to all owners of how the endpoint performs.
FINDING_INTERVAL_MS = 100


class ReportPacer:
    """The free room last reported to each owner, and the owner to report to next."""

    def __init__(self, clock):
        self._clock = clock
        # The free room and the time of the last report, by owner.
        self._last_reports = {}
        self._last_turn_ms = 0
        self._last_revision = 0
        self._last_finding_ms = -FINDING_INTERVAL_MS

    def record_sent(self, owner, free):
        """Record that a report with this free ``Room`` is sent to an owner."""
        self._last_reports[owner] = free, self._clock.now_ms()

    def remove_owner(self, owner):
        """Remove an owner whose link has closed."""
        self._last_reports.pop(owner, None)

    def is_finding_due(self, revision):
        """Return whether to report to all owners at once, and record that it is done.

        ``revision`` is that of ``EndpointPerformance``. All owners need to know of an
        endpoint that is slow or fails before they send more starts.
        """
        now_ms = self._clock.now_ms()
        if (
            revision == self._last_revision
            or now_ms - self._last_finding_ms < FINDING_INTERVAL_MS
        ):
            return False
        self._last_revision = revision
        self._last_finding_ms = now_ms
        return True

    def next_owner(self, free, capacity_millis):
        """Return the owner to report the free ``Room`` to now, or None.

        It is the owner with the oldest report among those whose last report differs
        from ``free``. ``capacity_millis`` is the endpoint's processor in thousandths
        of a core.
        """
        now_ms = self._clock.now_ms()
        interval_ms = INTERVAL_PER_SQUARED_OWNERS_MS * len(self._last_reports) ** 2
        if free.cpu_millis > PLENTIFUL_SHARE * capacity_millis:
            interval_ms *= PLENTIFUL_INTERVAL_FACTOR
        if now_ms - self._last_turn_ms < interval_ms:
            return None
        outdated = [
            (sent_ms, owner)
            for owner, (sent_free, sent_ms) in self._last_reports.items()
            if sent_free != free
        ]
        if not outdated:
            return None
        self._last_turn_ms = now_ms
        return min(outdated)[1]
