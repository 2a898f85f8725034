"""Tests of ``ConfigurationStore``: concurrent changes, lost replies, bad rows."""

import asyncio
import random
import unittest
import unittest.mock

from returns.result import Failure, Success

from plantainhitch.clock import ManualClock
from plantainhitch.coordination import configuration
from plantainhitch.coordination.configuration import ConfigurationStore
from plantainhitch.protocol.errors import ErrorCode
from plantainhitch.standins.table import Faults, MemoryPlatform, TableService
from plantainhitch.state.classes import ClassDefinition, ClassDocument
from plantainhitch.transport.platform import FaultKind, PlatformFault, Write

TEAMS = {}


def classes_with(target_ms):
    """Return the classes of a document with one class with this target."""
    return {"render": ClassDefinition("render", answers_within_ms=target_ms)}


class ScheduledPlatform(MemoryPlatform):
    """Runs calls in a random order, and loses some requests and replies of writes."""

    def __init__(self, tables, rng):
        super().__init__(ManualClock(), tables)
        self._rng = rng

    async def write(self, table, writes):
        if self._rng.random() < 0.2:
            self.set_faults(Faults(lose_replies=1))
        elif self._rng.random() < 0.1:
            self.set_faults(Faults(lose_requests=1))
        return await super().write(table, writes)

    async def _apply_delay_and_outage(self):
        for _ in range(self._rng.randrange(5)):
            await asyncio.sleep(0)
        return await super()._apply_delay_and_outage()


class Operator:
    """Applies changes one after another, each to the version it has just read."""

    def __init__(self, name, tables, rng):
        self.name = name
        self.store = ConfigurationStore(ScheduledPlatform(tables, rng), ManualClock())
        self.adopted_versions = []
        self.accepted_changes = []
        self.refusals = []
        self.store.set_callbacks(
            on_new_version=lambda taken: self.adopted_versions.append(taken.version)
        )

    async def apply_many(self, count):
        for number in range(count):
            await self.store.refresh()
            change_id = f"{self.name}-{number}"
            result = await self.store.apply(
                self.store.version, change_id, self.name, classes_with(number + 1), {}
            )
            match result:
                case Success(document):
                    self.accepted_changes.append((document.version, document.change_id))
                case Failure(refusal):
                    self.refusals.append((change_id, refusal))


class ConcurrentOperatorsTest(unittest.IsolatedAsyncioTestCase):
    """Two operators apply changes concurrently, with lost replies and requests."""

    async def test_each_version_has_one_winner(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                await self.run_operators(random.Random(seed), count=200)

    async def run_operators(self, rng, count):
        tables = TableService()
        operators = [Operator(name, tables, rng) for name in ("ann", "ben")]
        await asyncio.gather(*(item.apply_many(count) for item in operators))
        reader = ConfigurationStore(MemoryPlatform(tables=tables), ManualClock())
        await reader.refresh()
        accepted_changes = [
            change for item in operators for change in item.accepted_changes
        ]
        self.assertEqual(
            sorted(version for version, _ in accepted_changes),
            list(range(1, reader.version + 1)),
        )
        by_version = dict(accepted_changes)
        for document in (await reader.history(100)).unwrap():
            self.assertEqual(document.change_id, by_version[document.version])
        for operator in operators:
            self.assertEqual(
                operator.adopted_versions, sorted(set(operator.adopted_versions))
            )
            for change_id, refusal in operator.refusals:
                self.assertIs(refusal.code, ErrorCode.VERSION_CONFLICT, change_id)
                other = "ben" if operator.name == "ann" else "ann"
                self.assertIn(f"by {other!r}", refusal.message)
        self.assertTrue(
            all(item.refusals for item in operators), "no conflict occurred"
        )

    async def test_unconditional_writes_fail_the_check(self):
        # The check above has to detect a store that writes without conditions.
        original = configuration.transaction_writes

        def unconditional(document, head_revision):
            return [Write(x.key, x.value) for x in original(document, head_revision)]

        with (
            unittest.mock.patch.object(
                configuration, "transaction_writes", unconditional
            ),
            self.assertRaises(AssertionError),
        ):
            await self.run_operators(random.Random(1), 20)


class ConfigurationTest(unittest.IsolatedAsyncioTestCase):
    """A single ``ConfigurationStore`` under faults."""

    def setUp(self):
        self.clock = ManualClock()
        self.platform = MemoryPlatform(self.clock)
        self.accepted = []
        self.store = ConfigurationStore(
            self.platform, self.clock, on_accepted=self.push
        )

    def push(self, document):
        """Record the document in a task, after one turn of the event loop."""

        async def send():
            await asyncio.sleep(0)
            self.accepted.append(document)

        return asyncio.create_task(send())

    async def apply(self, base_version, change_id, target_ms=100):
        return await self.store.apply(
            base_version, change_id, "ann", classes_with(target_ms), TEAMS
        )

    async def test_change_with_a_lost_reply_is_accepted_and_pushed(self):
        self.platform.set_faults(Faults(lose_replies=1))
        document = (await self.apply(0, "c1")).unwrap()
        self.assertEqual(document.version, 1)
        self.assertEqual(self.accepted, [document])
        self.assertEqual(self.platform.table("configuration").revision, 1)

    async def test_lost_request_is_repeated(self):
        self.platform.set_faults(Faults(lose_requests=1))
        self.assertEqual((await self.apply(0, "c1")).unwrap().version, 1)

    async def test_same_change_id_takes_effect_once(self):
        await self.apply(0, "c1")
        await self.apply(1, "c2", target_ms=200)
        again = (await self.apply(0, "c1")).unwrap()
        self.assertEqual((again.version, self.store.version), (1, 2))
        other_content = (await self.apply(2, "c1", target_ms=300)).failure()
        self.assertIs(other_content.code, ErrorCode.VERSION_CONFLICT)
        self.assertEqual([document.version for document in self.accepted], [1, 2])

    async def test_one_failed_read_does_not_refuse_the_change(self):
        read = self.platform.read
        faults = [Failure(PlatformFault(FaultKind.NOT_APPLIED, "timed out"))]

        async def read_with_fault(table, key):
            return faults.pop() if faults else await read(table, key)

        self.platform.read = read_with_fault
        self.assertEqual((await self.apply(0, "c1")).unwrap().version, 1)
        self.assertFalse(faults)

    async def test_outage_refuses_and_keeps_the_version(self):
        await self.apply(0, "c1")
        self.platform.set_faults(Faults(outage=True))
        refusal = (await self.apply(1, "c2")).failure()
        self.assertEqual((refusal.code, refusal.not_run), (ErrorCode.STORE_DOWN, True))
        self.assertFalse(await self.store.refresh())
        self.assertEqual(self.store.version, 1)

    async def test_unknown_outcome_is_reported_as_unknown(self):
        self.platform.set_faults(Faults(lose_requests=1_000))
        refusal = (await self.apply(0, "c1")).failure()
        self.assertEqual((refusal.code, refusal.not_run), (ErrorCode.STORE_DOWN, False))
        self.assertIn("unknown", refusal.message)

    async def test_older_document_is_ignored(self):
        self.assertTrue(self.store.adopt_if_newer(ClassDocument(5, "c5", "ann")))
        for version in (4, 5):
            older = ClassDocument(version, "other", "ben")
            self.assertFalse(self.store.adopt_if_newer(older))
        self.assertEqual(self.store.current.change_id, "c5")

    async def test_bad_document_is_refused_with_all_errors(self):
        bad = {
            "render": ClassDefinition("render", 0, claims_at_least=0.7),
            "sync": ClassDefinition("sync", 100, claims_at_least=0.7, team="none"),
        }
        refusal = (await self.store.apply(0, "", "ann", bad, TEAMS)).failure()
        self.assertIs(refusal.code, ErrorCode.BAD_CONFIGURATION)
        self.assertEqual(len(refusal.details), 4, refusal.details)
        self.assertEqual(self.platform.counters.writes, 0)

    async def test_document_round_trips_through_json(self):
        document = (await self.apply(0, "c1")).unwrap()
        self.assertEqual(ClassDocument.from_json(document.to_json()), document)

    async def test_unreadable_rows_fail_reads_and_changes(self):
        await self.apply(0, "c1")
        for key in ("current", "change/c2", "version/0000000001"):
            with self.subTest(key=key):
                good = (await self.platform.read("configuration", key)).unwrap()
                await self.platform.write("configuration", [Write(key, b"{bad")])
                reader = ConfigurationStore(self.platform, self.clock)
                refresh_worked = await reader.refresh()
                self.assertEqual(refresh_worked, key == "change/c2")
                refused = await reader.apply(1, "c2", "ann", classes_with(1), TEAMS)
                if key != "version/0000000001":
                    self.assertIs(refused.failure().code, ErrorCode.STORE_DOWN)
                value = good.value if good else None
                await self.platform.write("configuration", [Write(key, value)])
