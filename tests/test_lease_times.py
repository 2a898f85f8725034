"""The lengths of leases that follow from a deployment's bounds."""

import unittest

from plantainhitch.coordination.runs.lease_times import (
    CLOCK_DRIFT_FACTOR,
    MIN_RUN_END_MS,
    RESUBMIT_MARGIN_MS,
    USUAL_CONTACT_AGE_MS,
    LeaseTimes,
)

MAX_ENDPOINT_MS = 1_000
RESUBMIT_MS = 1_300
STOP_MS = 50


class LeaseTimesTests(unittest.TestCase):
    """No lease lets a run go on until its job may be submitted again."""

    def test_all_leases_end_before_callers_submit_again(self):
        # Review case 2: only the last of two leases in a row was compared with it.
        least_ms = MIN_RUN_END_MS + STOP_MS + RESUBMIT_MARGIN_MS
        for resubmit_ms in range(least_ms, 5_000, 10):
            times = LeaseTimes.from_limits(MAX_ENDPOINT_MS, resubmit_ms, STOP_MS)
            with self.subTest(resubmit_ms=resubmit_ms):
                self.assertLess(times.owner_ms, times.run_end_ms)
                self.assertLess(times.run_end_ms, resubmit_ms)
                run_ms = times.longest_run_ms(times.endpoint_ms) + USUAL_CONTACT_AGE_MS
                self.assertLessEqual(run_ms, times.run_end_ms)
                self.assertLessEqual(times.endpoint_ms, MAX_ENDPOINT_MS)
                self.assertGreater(times.endpoint_ms, 0)

    def test_callers_that_submit_again_too_soon_do_not_shorten_leases_further(self):
        times = LeaseTimes.from_limits(MAX_ENDPOINT_MS, 100, STOP_MS)
        self.assertEqual(MIN_RUN_END_MS + STOP_MS, times.run_end_ms)
        self.assertGreater(times.endpoint_ms, 0)
        self.assertGreater(times.owner_ms, 0)

    def test_endpoints_that_stop_runs_more_slowly_get_shorter_leases(self):
        # The time of a stop was a constant, whatever the deployment allowed its
        # endpoints: with 150 ms, runs ended later than their lease was taken to.
        for stop_ms in (0, 50, 150, 300):
            times = LeaseTimes.from_limits(MAX_ENDPOINT_MS, RESUBMIT_MS, stop_ms)
            with self.subTest(stop_ms=stop_ms):
                lease_ms = times.longest_lease_ms(times.run_end_ms)
                ended_ms = lease_ms * CLOCK_DRIFT_FACTOR + stop_ms
                self.assertLess(ended_ms, times.run_end_ms)
                longest_ms = times.endpoint_ms * CLOCK_DRIFT_FACTOR + stop_ms
                self.assertLess(longest_ms, times.longest_run_ms(times.endpoint_ms))
                self.assertGreater(times.endpoint_ms, 0)


if __name__ == "__main__":
    unittest.main()
