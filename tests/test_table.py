"""Tests of the in-memory table against a naive model, and of its faults."""

import unittest

from hypothesis import given, settings, strategies as st
from returns.result import Success

from plantainhitch.standins.table import (
    Faults,
    MemoryPlatform,
    Table,
    WriteConflict,
)
from plantainhitch.transport.platform import ABSENT, FaultKind, Row, Write

KEYS = st.sampled_from("abc")
WRITES = st.lists(
    st.tuples(KEYS, st.sampled_from([None, b"1", b"2"]), st.sampled_from("ncwx")),
    min_size=1,
    max_size=3,
    unique_by=lambda write: write[0],
)


class NaiveTable:
    """Keeps all transactions in a list and computes every result from it."""

    def __init__(self):
        self.log = []

    def last(self, key):
        """Return (value, revision) of the key's last change."""
        for number in range(len(self.log), 0, -1):
            if key in self.log[number - 1]:
                return self.log[number - 1][key], number
        return None, 0

    def changes(self, since):
        changed = {key for change in self.log[since:] for key in change}
        return {Row(key, *self.last(key)) for key in changed}

    def write(self, writes):
        for write in writes:
            value, revision = self.last(write.key)
            found = 0 if value is None else revision
            if write.expected_revision not in (None, found):
                return False
        self.log.append({write.key: write.value for write in writes})
        return True


class DifferentialTest(unittest.TestCase):
    """The table and the naive one give the same results for random transactions.

    This guards the revisions, the conditions of writes and the paging of changes: a
    reader that continues after a page must miss no row.
    """

    @settings(max_examples=100, derandomize=True, deadline=None, database=None)
    @given(st.lists(WRITES, min_size=3, max_size=12), st.integers(1, 4))
    def test_against_naive_table(self, transactions, limit):
        table, naive = Table(), NaiveTable()
        for transaction in transactions:
            writes = [
                Write(key, value, self._expected(naive, key, condition))
                for key, value, condition in transaction
            ]
            result = table.write(writes)
            self.assertEqual(isinstance(result, WriteConflict), not naive.write(writes))
        self.assertEqual(table.revision, len(naive.log))
        for since in range(table.revision + 1):
            changed = naive.changes(since)
            self.assertEqual(set(table.changes(since).rows), changed)
            self.assertEqual(self._paged(table, since, limit), changed)

    @staticmethod
    def _expected(naive, key, condition):
        value, revision = naive.last(key)
        current = ABSENT if value is None else revision
        return {"n": None, "c": current, "w": current + 1, "x": ABSENT}[condition]

    def _paged(self, table, since, limit):
        """Return all changes since a revision, read in pages of ``limit`` rows."""
        rows = set()
        while True:
            page = table.changes(since, limit)
            self.assertTrue(all(row.revision <= page.revision for row in page.rows))
            rows.update(page.rows)
            if len(page.rows) < limit:
                return rows
            since = page.revision


class FaultTest(unittest.IsolatedAsyncioTestCase):
    """Fault injection of the in-memory platform."""

    async def test_lost_reply_lost_request_and_outage(self):
        # A lost request has no effect and a lost reply has; callers can't tell which.
        platform = MemoryPlatform()
        platform.set_faults(Faults(lose_requests=1, lose_replies=1))
        for expected_revision in (0, 1):
            failed = await platform.write("t", [Write("k", b"v", ABSENT)])
            self.assertEqual(failed.failure().kind, FaultKind.UNKNOWN)
            self.assertEqual(platform.table("t").revision, expected_revision)
        conflict = (await platform.write("t", [Write("k", b"w", ABSENT)])).failure()
        self.assertEqual(conflict.rows, (Row("k", b"v", 1),))
        platform.set_faults(Faults(outage=True))
        failed = await platform.write("t", [Write("k", None)])
        self.assertEqual(failed.failure().kind, FaultKind.NOT_APPLIED)
        platform.set_faults(Faults())
        self.assertEqual(await platform.read("t", "k"), Success(Row("k", b"v", 1)))
