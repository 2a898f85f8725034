"""The account of processor time that a deployed process writes to its log."""

import asyncio
import cProfile
import unittest
from unittest import mock

from plantainhitch import profiling
from plantainhitch.clock import ManualClock
from plantainhitch.commands import main
from plantainhitch.commands.exit_codes import ExitCode


def spend_time(count):
    """Call a function ``count`` times."""
    for _ in range(count):
        sorted([2, 1])


class ProfilingTests(unittest.IsolatedAsyncioTestCase):
    """Rows of functions, their number, and the option of the commands."""

    def test_rows_name_the_function_and_its_calls(self):
        profile = cProfile.Profile()
        profile.runcall(spend_time, 500)
        rows = profiling.costliest_functions(profile, 100)
        calls_by_name = {name: calls for name, calls, *_ in rows}
        self.assertEqual(500, calls_by_name["<built-in method builtins.sorted>"])
        (name,) = (name for name in calls_by_name if name.endswith(" spend_time"))
        self.assertTrue(name.startswith("tests/test_profiling.py:"))

    def test_the_number_of_rows_is_limited(self):
        profile = cProfile.Profile()
        profile.runcall(spend_time, 500)
        self.assertEqual(1, len(profiling.costliest_functions(profile, 1)))

    async def test_accounts_are_logged_and_measuring_goes_on(self):
        profiler = profiling.Profiler(ManualClock())
        with mock.patch.object(profiling, "log") as log:
            profiler.start()
            task = asyncio.create_task(profiler.run())
            while log.notice.call_count < 2:
                spend_time(1)
                await asyncio.sleep(0)
            task.cancel()
            profiler._profile.disable()
        _, fields = log.notice.call_args
        self.assertLessEqual(len(fields["functions"]), profiling.MAX_FUNCTIONS)

    def test_an_unknown_argument_of_a_deployed_command_is_refused(self):
        with mock.patch.object(main.sys, "stderr"):
            self.assertEqual(ExitCode.USAGE, main.main(["deployed-agent", "--profil"]))


if __name__ == "__main__":
    unittest.main()
