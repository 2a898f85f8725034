"""The lengths of leases that follow from a deployment's bounds."""

import unittest

from plantainhitch.coordination.runs.lease_times import (
    MIN_RUN_END_MS,
    RESUBMIT_MARGIN_MS,
    USUAL_CONTACT_AGE_MS,
    LeaseTimes,
    longest_run_ms,
)

MAX_ENDPOINT_MS = 1_000


class LeaseTimesTests(unittest.TestCase):
    """No lease lets a run go on until its job may be submitted again."""

    def test_all_leases_end_before_callers_submit_again(self):
        # Review case 2: only the last of two leases in a row was compared with it.
        for resubmit_ms in range(MIN_RUN_END_MS + RESUBMIT_MARGIN_MS, 5_000, 10):
            times = LeaseTimes.from_limits(MAX_ENDPOINT_MS, resubmit_ms)
            with self.subTest(resubmit_ms=resubmit_ms):
                self.assertLess(times.owner_ms, times.run_end_ms)
                self.assertLess(times.run_end_ms, resubmit_ms)
                run_ms = longest_run_ms(times.endpoint_ms) + USUAL_CONTACT_AGE_MS
                self.assertLessEqual(run_ms, times.run_end_ms)
                self.assertLessEqual(times.endpoint_ms, MAX_ENDPOINT_MS)
                self.assertGreater(times.endpoint_ms, 0)

    def test_callers_that_submit_again_too_soon_do_not_shorten_leases_further(self):
        times = LeaseTimes.from_limits(MAX_ENDPOINT_MS, 100)
        self.assertEqual(MIN_RUN_END_MS, times.run_end_ms)
        self.assertGreater(times.owner_ms, 0)


if __name__ == "__main__":
    unittest.main()
