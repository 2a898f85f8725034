"""The order and the pace of an agent's reports of free room."""

import unittest

from plantainhitch.clock import ManualClock
from plantainhitch.coordination.runs.report_pacer import (
    INTERVAL_PER_SQUARED_OWNERS_MS,
    ReportPacer,
)
from plantainhitch.state.jobs import Room

OWNERS = ("a", "b", "c", "d", "e")
CAPACITY_MILLIS = 16_000
INTERVAL_MS = round(INTERVAL_PER_SQUARED_OWNERS_MS * len(OWNERS) ** 2)


class ReportPacerTests(unittest.TestCase):
    """Rotation, intervals, and owners whose last report is up to date."""

    def setUp(self):
        self.clock = ManualClock(1_000)
        self.report_pacer = ReportPacer(self.clock)
        for owner in OWNERS:
            self.report_pacer.record_sent(owner, Room(1_000, 0, 0))
            self.clock.advance(1)

    def reports_within(self, duration_ms, free):
        reports = []
        for _ in range(duration_ms):
            self.clock.advance(1)
            owner = self.report_pacer.next_owner(free, CAPACITY_MILLIS)
            if owner is not None:
                self.report_pacer.record_sent(owner, free)
                reports.append((self.clock.now_ms(), owner))
        return reports

    def test_scarce_room_is_reported_to_one_owner_at_a_time(self):
        """Guards against owners that all send starts for the same room.

        Several owners wait for room at a full endpoint. If all were told at once that
        room is free, all would send starts, and all but one would be refused.
        """
        reports = self.reports_within(
            INTERVAL_MS * (len(OWNERS) + 2), Room(2_000, 0, 0)
        )
        self.assertEqual(list(OWNERS), [owner for _, owner in reports])
        times = [time for time, _ in reports]
        gaps = [later - time for time, later in zip(times, times[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), INTERVAL_MS)

    def test_unchanged_room_is_not_reported_again(self):
        self.assertEqual([], self.reports_within(200, Room(1_000, 0, 0)))

    def test_plentiful_room_is_reported_less_often(self):
        scarce_count = len(self.reports_within(4 * INTERVAL_MS, Room(2_000, 0, 0)))
        plentiful_count = len(self.reports_within(4 * INTERVAL_MS, Room(12_000, 0, 0)))
        self.assertGreater(scarce_count, plentiful_count)

    def test_a_removed_owner_gets_no_report(self):
        self.report_pacer.remove_owner("a")
        reports = self.reports_within(200, Room(2_000, 0, 0))
        self.assertNotIn("a", [owner for _, owner in reports])


if __name__ == "__main__":
    unittest.main()
