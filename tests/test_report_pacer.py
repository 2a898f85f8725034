"""Whom an agent tells of its room."""

import unittest

from plantainhitch.clock import ManualClock
from plantainhitch.coordination.runs.report_pacer import INTERVAL_MS, ReportPacer
from plantainhitch.state.jobs import Room

OWNERS = ("a", "b", "c", "d", "e")
CAPACITY = 16_000
STEP_MS = round(INTERVAL_MS * len(OWNERS))


class ReportPacerTests(unittest.TestCase):
    """Turns, pauses, and owners that know already."""

    def setUp(self):
        self.clock = ManualClock(1_000)
        self.report_pacer = ReportPacer(self.clock)
        for owner in OWNERS:
            self.report_pacer.record_sent(owner, Room(1_000, 0, 0))
            self.clock.advance(1)

    def told_within(self, duration_ms, free):
        told = []
        for _ in range(duration_ms):
            self.clock.advance(1)
            owner = self.report_pacer.next_owner(free, CAPACITY)
            if owner is not None:
                self.report_pacer.record_sent(owner, free)
                told.append((self.clock.now_ms(), owner))
        return told

    def test_scarce_room_is_told_to_one_owner_at_a_time(self):
        """Pattern: several owners wait for the room of a full endpoint."""
        told = self.told_within(STEP_MS * (len(OWNERS) + 2), Room(2_000, 0, 0))
        self.assertEqual(list(OWNERS), [owner for _, owner in told])
        times = [time for time, _ in told]
        gaps = [later - time for time, later in zip(times, times[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), STEP_MS)

    def test_nobody_is_told_what_it_knows(self):
        self.assertEqual([], self.told_within(200, Room(1_000, 0, 0)))

    def test_plenty_is_told_more_rarely(self):
        scarce = len(self.told_within(4 * STEP_MS, Room(2_000, 0, 0)))
        plenty = len(self.told_within(4 * STEP_MS, Room(12_000, 0, 0)))
        self.assertGreater(scarce, plenty)

    def test_an_owner_without_a_link_has_no_turn(self):
        self.report_pacer.remove_owner("a")
        told = self.told_within(200, Room(2_000, 0, 0))
        self.assertNotIn("a", [owner for _, owner in told])


if __name__ == "__main__":
    unittest.main()
