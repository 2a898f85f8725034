"""Binding and sweeping of callers' keys, with lost requests and replies.

Two bindings of one key, or a start before the binding, would let a repeated call run
its tasks twice.
"""

import asyncio
import random
import unittest

from returns.result import Success

from plantainhitch.clock import ManualClock
from plantainhitch.coordination.key_sweep import (
    CLOCK_SKEW_MARGIN_MS,
    PAGE_ROWS,
    KeySweeper,
)
from plantainhitch.coordination.keys import (
    MAX_KEYS_PER_WRITE,
    RETENTION_MS,
    Binding,
    KeyBinder,
    key_hash,
)
from plantainhitch.protocol.errors import ErrorCode
from plantainhitch.standins.table import Faults, MemoryPlatform, TableService
from plantainhitch.transport.platform import TABLE_KEYS, Write

DIGEST = b"digest"


class KeyBinderTest(unittest.IsolatedAsyncioTestCase):
    """The binder of one entry, with and without faults of the table."""

    def setUp(self):
        self.clock = ManualClock(1_000)
        self.platform = MemoryPlatform(self.clock)
        self.binder = KeyBinder(self.platform, self.clock)

    async def test_concurrent_keys_share_a_write(self):
        await self.binder.bind("taken", DIGEST, b"first")
        self.platform.counters.writes = 0
        keys = ["taken", *(f"k{n}" for n in range(MAX_KEYS_PER_WRITE - 1))]
        results = await asyncio.gather(
            *(self.binder.bind(key, DIGEST, key.encode()) for key in keys)
        )
        self.assertEqual(results[0], Success(Binding(b"first", DIGEST, False)))
        for key, result in zip(keys[1:], results[1:], strict=True):
            self.assertEqual(result, Success(Binding(key.encode(), DIGEST, True)))
        self.assertEqual(self.platform.counters.writes, 2)

    async def test_concurrent_calls_with_one_key_share_its_binding(self):
        first, second, other = await asyncio.gather(
            self.binder.bind("k", DIGEST, b"a"),
            self.binder.bind("k", DIGEST, b"b"),
            self.binder.bind("k", b"other", b"c"),
        )
        self.assertEqual(first, Success(Binding(b"a", DIGEST, True)))
        self.assertEqual(second, Success(Binding(b"a", DIGEST, False)))
        self.assertIs(other.failure().code, ErrorCode.KEY_CONFLICT)

    async def test_binding_survives_lost_requests_and_replies(self):
        for faults in (Faults(lose_replies=2), Faults(lose_requests=2)):
            with self.subTest(faults=faults):
                self.platform.set_faults(faults)
                key = repr(faults)
                bound = await self.binder.bind(key, DIGEST, b"id")
                self.assertEqual(bound, Success(Binding(b"id", DIGEST, True)))

    async def test_refusal_while_the_store_is_down_is_no_proof_of_not_run(self):
        for faults in (Faults(outage=True), Faults(lose_requests=10_000)):
            with self.subTest(faults=faults):
                self.platform.set_faults(faults)
                refusal = (await self.binder.bind("k", DIGEST, b"id")).failure()
                self.assertIs(refusal.code, ErrorCode.STORE_DOWN)
                self.assertFalse(refusal.not_run)

    async def test_expired_key_is_refused_until_swept(self):
        await self.binder.bind("k", DIGEST, b"old")
        sweeper = KeySweeper(self.platform, self.clock)
        self.clock.advance(RETENTION_MS)
        repeated = await self.binder.bind("k", DIGEST, b"new")
        self.assertEqual(repeated, Success(Binding(b"old", DIGEST, False)))
        self.clock.advance(1)
        expired = (await self.binder.bind("k", DIGEST, b"new")).failure()
        self.assertIs(expired.code, ErrorCode.ANSWER_EXPIRED)
        self.assertEqual(await sweeper.sweep(), 0)
        self.clock.advance(CLOCK_SKEW_MARGIN_MS)
        self.assertEqual(await sweeper.sweep(), 1)
        rebound = await self.binder.bind("k", DIGEST, b"new")
        self.assertEqual(rebound, Success(Binding(b"new", DIGEST, True)))
        self.assertEqual(await sweeper.sweep(), 0)

    async def test_new_sweeper_continues_at_the_stored_cursor(self):
        count = 2 * PAGE_ROWS + 3
        keys = [f"k{number}" for number in range(count)]
        await asyncio.gather(*(self.binder.bind(key, DIGEST, b"id") for key in keys))
        self.clock.advance(RETENTION_MS + CLOCK_SKEW_MARGIN_MS + 10 * RETENTION_MS)
        await self.binder.bind("held", DIGEST, b"id")
        deleted = 0
        for _ in range(4):
            deleted += await KeySweeper(self.platform, self.clock).sweep()
        self.assertEqual(deleted, count)
        retained = await self.binder.bind("held", DIGEST, b"other")
        self.assertEqual(retained, Success(Binding(b"id", DIGEST, False)))
        self.platform.counters.reads = 0
        self.assertEqual(await KeySweeper(self.platform, self.clock).sweep(), 0)
        self.assertEqual(self.platform.counters.reads, 2)

    async def test_row_with_an_id_that_is_not_hexadecimal_affects_no_other_key(self):
        value = b'{"submission":"zz","digest":"00","bound_ms":1}'
        await self.platform.write(TABLE_KEYS, [Write(key_hash("bad"), value)])
        bad, good = await asyncio.gather(
            self.binder.bind("bad", DIGEST, b"a"),
            self.binder.bind("good", DIGEST, b"b"),
        )
        self.assertIs(ErrorCode.INTERNAL, bad.failure().code)
        self.assertEqual(Success(Binding(b"b", DIGEST, True)), good)

    async def test_unreadable_row_does_not_affect_other_keys(self):
        writes = [Write(key_hash("bad"), b"{bad")]
        await self.platform.write(TABLE_KEYS, writes)
        unreadable, readable = await asyncio.gather(
            self.binder.bind("bad", DIGEST, b"a"), self.binder.bind("k", DIGEST, b"b")
        )
        self.assertIs(unreadable.failure().code, ErrorCode.INTERNAL)
        self.assertFalse(unreadable.failure().not_run)
        self.assertEqual(readable, Success(Binding(b"b", DIGEST, True)))
        self.clock.advance(10 * RETENTION_MS)
        sweeper = KeySweeper(self.platform, self.clock)
        self.assertEqual(await sweeper.sweep(), 2)
        rebound = await self.binder.bind("bad", DIGEST, b"c")
        self.assertEqual(rebound, Success(Binding(b"c", DIGEST, True)))

    async def test_an_unreadable_row_is_kept_until_a_later_row_has_expired(self):
        # Nothing else tells its age, and the key may still be retained.
        writes = [Write(key_hash("bad"), b"{bad")]
        await self.platform.write(TABLE_KEYS, writes)
        self.clock.advance(RETENTION_MS)
        await self.binder.bind("k", DIGEST, b"b")
        self.clock.advance(CLOCK_SKEW_MARGIN_MS + 1)
        sweeper = KeySweeper(self.platform, self.clock)
        self.assertEqual(0, await sweeper.sweep())
        self.clock.advance(RETENTION_MS)
        self.assertEqual(2, await sweeper.sweep())


class RaceTest(unittest.IsolatedAsyncioTestCase):
    """Several entries bind the same keys at once; exactly one binding wins."""

    async def test_entries_agree_on_the_binding_of_every_key(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                await self.bind_concurrently(random.Random(seed))

    async def bind_concurrently(self, rng):
        tables = TableService()
        bound = {}
        for number in range(60):
            binders = []
            for _ in range(3):
                platform = MemoryPlatform(ManualClock(), tables)
                lost_replies, lost_requests = rng.randrange(3), rng.randrange(2)
                platform.set_faults(
                    Faults(lose_replies=lost_replies, lose_requests=lost_requests)
                )
                binders.append(KeyBinder(platform, ManualClock()))
            results = await asyncio.gather(
                *(
                    binder.bind(f"key{number}", DIGEST, rng.randbytes(8))
                    for binder in binders
                )
            )
            ids = {result.unwrap().submission for result in results}
            self.assertEqual(len(ids), 1)
            new_bindings = [result for result in results if result.unwrap().is_new]
            self.assertEqual(len(new_bindings), 1)
            bound[number] = ids.pop()
        binder = KeyBinder(MemoryPlatform(ManualClock(), tables), ManualClock())
        for number, submission in bound.items():
            repeated = await binder.bind(f"key{number}", DIGEST, b"late")
            self.assertEqual(repeated, Success(Binding(submission, DIGEST, False)))
