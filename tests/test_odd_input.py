"""Rows, answers and frames with odd contents, as another writer may leave them.

Guards against processes that end, or stop following a list, at one odd entry in it:
nested too deeply, with a number of thousands of digits, or with a port out of range.
"""

import unittest
from dataclasses import asdict, replace

import msgspec

from plantainhitch.clock import Clock, ManualClock
from plantainhitch.coordination.jobs.peers import Peers
from plantainhitch.coordination.key_sweep import CURSOR_KEY, KeySweeper
from plantainhitch.coordination.membership import Membership
from plantainhitch.coordination.runs.endpoint_record import (
    TABLE_ENDPOINTS,
    EndpointRecord,
)
from plantainhitch.json_input import decode_json
from plantainhitch.platform import configuration, jobs
from plantainhitch.platform.endpoint import MAX_LISTED_ENDS, EndpointClient
from plantainhitch.platform.job_app import DEFAULT_CALLER_TIMEOUT_MS, _caller_timeout_ms
from plantainhitch.platform.store import RowStore
from plantainhitch.protocol import messages as m
from plantainhitch.standins.store_rows import RowsStandIn
from plantainhitch.standins.table import MemoryPlatform
from plantainhitch.state.endpoints import (
    Accepted,
    ActiveRun,
    End,
    EndedRun,
    EndpointReport,
    Inventory,
    NoAnswer,
)
from plantainhitch.state.evacuations import EvacuatedZones
from plantainhitch.state.jobs import Room, RunKey
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.asgi import Reply, read_body, send_reply
from plantainhitch.transport.http_client import HttpClient
from plantainhitch.transport.http_server import serve
from plantainhitch.transport.platform import (
    TABLE_KEYS,
    TABLE_MEMBERS,
    Changes,
    Row,
    Write,
)

from .deployment import configuration as configured
from .odd_values import DEEP_JSON, MANY_DIGITS, odd_documents
from .test_job_peers import FakeLink, FakeMembership, FakeRoutes, member as peer_member
from .test_membership import member

LOOPBACK = Address("127.0.0.1", 0)
OWN = member(1)
TRUE_AGENT = member(2, m.ROLE_AGENT)
REPORT = EndpointReport("e-1", 1_000, 7, "pool", False, Room(4_000, 1_000, 0))
KEY = RunKey("job.0.0.0", 1)
RUNNING_ROW = ["job.0.0.0", 1, "", 41]
ENDED_ROW = [58, "job.0.0.1", 1, "done", ""]
INVENTORY = {
    "clock_ms": 5,
    "born": 1_000,
    "running": [RUNNING_ROW],
    "finished": [ENDED_ROW],
}


def odd_members(region="south"):
    """Yield (what is odd, value of a member's row)."""
    sound = msgspec.json.decode(member(9, m.ROLE_AGENT, region).to_json())
    optional = ("rack", "http")
    for what, data in odd_documents(sound):
        if not what.startswith(("left", "renewed_ms missing", *optional)):
            yield what, data
    for link in (
        "10.0.0.1:65536",
        "10.0.0.1:99999",
        "10.0.0.1:-1",
        f"10.0.0.1:{MANY_DIGITS.decode()}",
        "10.0.0.1:\N{SUPERSCRIPT TWO}",
        "nowhere:80",
        "10.0.0.1",
    ):
        yield f"link {link[:20]}", msgspec.json.encode(sound | {"link": link})
    yield "the incarnation of another member", TRUE_AGENT.to_json()


class MemberRowTests(unittest.IsolatedAsyncioTestCase):
    """One odd row among the members; the others hold."""

    async def asyncSetUp(self):
        self.clock = ManualClock(1_000)
        self.platform = MemoryPlatform(self.clock)
        await self.write(OWN.key, OWN.to_json())
        await self.write(TRUE_AGENT.key, TRUE_AGENT.to_json())
        self.changes = []
        self.membership = Membership(
            self.platform, self.clock, on_change=lambda: self.changes.append(1)
        )

    async def write(self, key, value):
        await self.platform.write(TABLE_MEMBERS, [Write(key, value)])

    async def test_the_other_members_are_followed(self):
        for number, (what, value) in enumerate(odd_members()):
            with self.subTest(what):
                key = f"agent/{900 + number:032x}"
                await self.write(key, value)
                moved = replace(TRUE_AGENT, link=f"10.0.0.2:{1 + number}")
                await self.write(TRUE_AGENT.key, moved.to_json())
                self.assertTrue(await self.membership.refresh())
                self.assertEqual([moved], self.membership.agents("south"))
                await self.write(key, None)
                await self.membership.refresh()
                self.assertEqual([moved], self.membership.agents("south"))

    async def test_the_end_of_a_row_with_another_key_removes_no_member(self):
        await self.membership.refresh()
        other_key = f"agent/{TRUE_AGENT.incarnation.hex().upper()} "
        await self.write(other_key, b"{}")
        await self.write(other_key, None)
        await self.membership.refresh()
        self.assertEqual([TRUE_AGENT], self.membership.agents("south"))

    async def test_a_new_process_reads_the_others(self):
        for number, (_, value) in enumerate(odd_members()):
            await self.write(f"entry/{900 + number:032x}", value)
        self.assertTrue(await self.membership.refresh())
        self.assertEqual([OWN], self.membership.entries("south"))


class PeerTests(unittest.TestCase):
    """Odd members in a frame of a peer."""

    def test_the_other_members_of_the_frame_are_added(self):
        membership = FakeMembership()
        peers = Peers(
            ManualClock(1),
            peer_member("own", m.ROLE_ENTRY),
            None,
            membership,
            FakeRoutes(),
            configuration.decode,
        )
        link = FakeLink()
        peers._known_by_link[link] = set()
        peers._version_by_link[link] = 0
        sound = peer_member("sound")
        values = [value for what, value in odd_members() if "another" not in what]
        peers._receive(link, m.Envelope(m.Introduction([*values, sound.to_json()])))
        self.assertEqual([sound], membership.present_members())
        peers._receive(link, m.Envelope(m.Configuration(9, DEEP_JSON)))


class StoreRowTests(unittest.IsolatedAsyncioTestCase):
    """Odd values in the answers of the store."""

    async def asyncSetUp(self):
        self.rows = RowsStandIn()
        self.server = await serve(self.rows, LOOPBACK)
        self.store = RowStore(HttpClient(self.server.address, Clock()))

    async def asyncTearDown(self):
        await self.store.aclose()
        await self.server.aclose(grace_ms=0)

    async def test_a_value_that_is_no_text_leaves_the_other_rows_readable(self):
        self.rows.put("plantainhitch-members", "a", {"odd": [1]})
        self.rows.put("plantainhitch-members", "b", b"sound")
        changes = (await self.store.changes("members", 0)).unwrap()
        self.assertEqual([b"", b"sound"], [row.value for row in changes.rows])

    async def test_an_odd_record_of_the_endpoint_names_none(self):
        record = EndpointRecord(self.store, Clock(), "machine")
        sound = msgspec.json.decode(msgspec.json.encode(REPORT))
        cases = [
            *odd_documents(sound),
            ("odd id", msgspec.json.encode(sound | {"endpoint_id": "a\r\nb"})),
            ("room", msgspec.json.encode(sound | {"capacity": {"cpu_millis": 2**40}})),
        ]
        optional = ("kind", "rack", "labels", "remaining_ms", "clock_ms", "cold_for_ms")
        for what, value in cases:
            is_sound = what.startswith(optional) and what.endswith("missing")
            if is_sound or what in ("draining: b'true'", "remaining_ms: b'null'"):
                continue
            with self.subTest(what):
                self.rows.put(f"plantainhitch-{TABLE_ENDPOINTS}", "machine", value)
                self.assertIsNone(await record.load())
        value = msgspec.json.encode(REPORT)
        self.rows.put(f"plantainhitch-{TABLE_ENDPOINTS}", "machine", value)
        self.assertEqual(REPORT, await record.load())

    async def test_a_sweep_with_an_odd_cursor_begins_anew(self):
        platform = MemoryPlatform(ManualClock(1))
        for value in (b"{}", b'{"revision":-1}', DEEP_JSON, b"\xff"):
            await platform.write(TABLE_KEYS, [Write(CURSOR_KEY, value)])
            self.assertEqual(0, await KeySweeper(platform, ManualClock(1)).sweep())


class OperatorRowTests(unittest.IsolatedAsyncioTestCase):
    """Odd rows of the operator's table."""

    async def read(self, *rows):
        sets = []
        source = configuration.OperatorSource(None, sets.append)
        _, table = source._handle(Changes(9, rows, is_complete=True))
        return table, sets

    async def test_an_odd_configuration_is_ignored(self):
        document = configured()
        names = ("services", "limits")  # not required
        for what, value in odd_documents(document):
            if what == "limits: b'{}'" or what.startswith(names) and "missing" in what:
                continue
            with self.subTest(what):
                table, _ = await self.read(Row("config", value, 3))
                self.assertIsNone(table)
        table, _ = await self.read(Row("config", msgspec.json.encode(document), 4))
        self.assertEqual(document["version"], table.version)

    async def test_an_evacuation_row_nested_too_deeply_counts(self):
        _, sets = await self.read(Row("evacuate/a", DEEP_JSON, 3))
        self.assertEqual([EvacuatedZones(9, frozenset({"a"}))], sets)


class FixedAnswer:
    """An ASGI application that gives the same answer to every call."""

    body = b""

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        await read_body(receive, 1 << 20)
        await send_reply(send, Reply(200, self.body))


class EndpointAnswerTests(unittest.IsolatedAsyncioTestCase):
    """Odd answers of the endpoint count as lost ones."""

    async def asyncSetUp(self):
        self.endpoint = FixedAnswer()
        self.server = await serve(self.endpoint, LOOPBACK)
        self.client = EndpointClient(self.server.address, Clock(), ("e-1", 1_000))
        # Orders are sent on connections that have had a sound answer.
        await self.inventory(msgspec.json.encode(INVENTORY))

    async def asyncTearDown(self):
        self.client.close()
        await self.server.aclose(grace_ms=0)

    async def inventory(self, body):
        self.endpoint.body = body
        return await self.client.inventory(1, 0, None, 0)

    async def test_odd_inventories(self):
        cases = list(odd_documents(INVENTORY))
        for number in range(len(RUNNING_ROW)):
            for odd in ({}, -1, 2**70):
                row = [*RUNNING_ROW[:number], odd, *RUNNING_ROW[number + 1 :]]
                body = msgspec.json.encode(INVENTORY | {"running": [row]})
                cases.append((f"running {row}", body))
        for number in range(len(ENDED_ROW)):
            for odd in ({}, -1, 2**70):
                row = [*ENDED_ROW[:number], odd, *ENDED_ROW[number + 1 :]]
                body = msgspec.json.encode(INVENTORY | {"finished": [row]})
                cases.append((f"finished {row}", body))
        cases.append(
            ("a short row", msgspec.json.encode(INVENTORY | {"running": [[]]}))
        )
        for what, body in cases:
            with self.subTest(what):
                self.assertIsInstance(await self.inventory(body), NoAnswer)
        expected = Inventory(
            clock_ms=5,
            born_ms=1_000,
            running=(ActiveRun(KEY, "", 41),),
            ended=(EndedRun(58, RunKey("job.0.0.1", 1), End.DONE, ""),),
        )
        found = await self.inventory(msgspec.json.encode(INVENTORY))
        self.assertEqual(expected, found)

    async def test_a_full_list_of_ends_may_have_more(self):
        for count in (MAX_LISTED_ENDS - 1, MAX_LISTED_ENDS):
            rows = [[number + 1, *ENDED_ROW[1:]] for number in range(count)]
            body = msgspec.json.encode(INVENTORY | {"finished": rows})
            found = await self.inventory(body)
            self.assertEqual(count == MAX_LISTED_ENDS, found.has_more_ends)

    async def test_odd_bodies_of_accepted_orders(self):
        # The status says that the order was carried out; the clock is not known then.
        for what, body in odd_documents({"clock_ms": 5}):
            if what == "clock_ms missing":
                continue
            with self.subTest(what):
                self.endpoint.body = body
                self.assertEqual(Accepted(0), await self.client.stop(KEY, 1))


class SubmissionTests(unittest.TestCase):
    """Odd jobs of callers are refused as invalid."""

    def test_odd_jobs(self):
        step = {"count": 2, "cpu": 500, "mem_mb": 256, "est_runtime_ms": 900}
        for what, body in odd_documents({"steps": [step]}):
            with self.subTest(what), self.assertRaises(ValueError):
                jobs.decode("0" * 16, body)
        for field in step:
            for odd in (-1, 2**40, 1e300, {}):
                with self.subTest(field=field, odd=odd), self.assertRaises(ValueError):
                    body = {"steps": [step | {field: odd}], "best_effort": True}
                    jobs.decode("0" * 16, msgspec.json.encode(body))

    def test_an_odd_deadline_is_left_out(self):
        for text in (MANY_DIGITS, b"-1", b"x", b"1e9"):
            headers = {b"x-deadline-ms": text}
            self.assertEqual(DEFAULT_CALLER_TIMEOUT_MS, _caller_timeout_ms(headers))
        self.assertEqual(1_500, _caller_timeout_ms({b"x-deadline-ms": b"1500"}))


class DecodeTests(unittest.TestCase):
    """The decoder of outside JSON raises ValueError only."""

    def test_odd_documents(self):
        for what, data in odd_documents(asdict(REPORT)):
            with self.subTest(what), self.assertRaises(ValueError):
                decode_json(data, dict[str, None])


if __name__ == "__main__":
    unittest.main()
