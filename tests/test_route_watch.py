"""The watch of the operator's configuration, on a source that fails at set times."""

import asyncio
import unittest
from unittest import mock

from returns.result import Failure, Success

from plantainhitch.clock import ManualClock
from plantainhitch.coordination.jobs import route_watch
from plantainhitch.coordination.jobs.route_watch import RouteWatch
from plantainhitch.transport.platform import FaultKind, PlatformFault

FAULT = Failure(PlatformFault(FaultKind.NOT_APPLIED, "the store is down"))


class ScriptedSource:
    """Answers each call with the next of ``answers``, after its time in ms."""

    def __init__(self, clock, answers):
        self._clock = clock
        self._answers = list(answers)

    async def read(self):
        """Return the next answer; the script ends with a cancellation."""
        if not self._answers:
            raise asyncio.CancelledError
        took_ms, answer = self._answers.pop(0)
        self._clock.advance(took_ms)
        return answer

    async def wait(self, revision, wait_ms):
        """Return the next answer."""
        return await self.read()


class StoreOutageTests(unittest.IsolatedAsyncioTestCase):
    """The length of an outage as it is logged at its end."""

    async def reported_away_ms(self, answers):
        """Play a script; return the ``away_ms`` that is logged."""
        clock = ManualClock(50_000)
        watch = RouteWatch(clock, ScriptedSource(clock, answers), lambda table: None)
        with (
            mock.patch.object(route_watch, "log") as log,
            self.assertRaises(asyncio.CancelledError),
        ):
            await watch.run()
        ((_, fields),) = log.notice.call_args_list
        return fields["away_ms"]

    async def test_it_counts_from_the_last_answer(self):
        answer = Success((1, None))
        script = [(1, answer), (600, answer), (300, FAULT), (100, answer)]
        away_ms = await self.reported_away_ms(script)
        self.assertGreaterEqual(away_ms, 400)
        self.assertLess(away_ms, 600)

    async def test_it_counts_from_the_start_where_the_store_was_never_read(self):
        away_ms = await self.reported_away_ms([(300, FAULT), (1, Success((1, None)))])
        self.assertGreaterEqual(away_ms, 301)
        self.assertLess(away_ms, 500)


if __name__ == "__main__":
    unittest.main()
