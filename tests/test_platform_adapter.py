"""The platform adapter: settings, configuration, heartbeats, jobs and the row store."""

import re
import tempfile
import unittest
import unittest.mock
from pathlib import Path

import msgspec

from plantainhitch.clock import Clock
from plantainhitch.commands.exit_codes import ExitCode
from plantainhitch.commands.main import help_text, main
from plantainhitch.platform import configuration, endpoint, jobs, settings
from plantainhitch.platform.store import RowStore
from plantainhitch.settings import SettingsError
from plantainhitch.standins.store_rows import RowsStandIn
from plantainhitch.state.jobs import Room
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.http_client import HttpClient
from plantainhitch.transport.http_server import serve
from plantainhitch.transport.platform import ABSENT, FaultKind, Write

from .deployment import POOL, configuration as configured
from .odd_values import odd_documents

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "plantainhitch"
# Names of the platform's protocol that have no other meaning in the project.
WIRE_NAMES = re.compile(
    r"rows-tx|rows-get|rows-feed|expected_rev\b|run-start|run-stop|last_seen"
    r"|heartbeat_addr|cold_left_ms|est_runtime_ms|target_latency_ms"
    r"|X-Target-Instance|retransmit_ms|hold_max_ms|remaining_ms\"|path_prefix\""
)
AGENT_SETTINGS = """
node = "side-1"
zone = "a"
region = "r"
ip = "10.1.0.14"
port_range = [7720, 7735]
seeds = ["10.1.0.13:8166", "10.1.0.14:8166"]
app = "10.1.0.14:8165"
service = "pool-1"
heartbeat_ms = 1500
unknown_field = 7
[listen]
control = "10.1.0.14:8166"
[bounds]
drain_ms = 2000
hold_max_ms = 1000
stop_timeout_ms = 50
retransmit_ms = 1300
grace_s = 6
config_apply_ms = 2000
[platform]
addr = "10.200.1.7:8169"
"""
HEARTBEAT = {
    "service": POOL,
    "addr": "10.0.0.1:1",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "draining",
    "cold_left_ms": 0,
    "remaining_ms": 1_500,
    "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 1},
    "labels": ["b", "r1-3"],
    "clock_ms": 482_113,
    "born": 17,
    "seq": 4,
}
STEP = {"count": 2, "cpu": 500, "mem_mb": 256, "est_runtime_ms": 900}


class SettingsTests(unittest.TestCase):
    """The settings file that the platform places on each machine."""

    def load(self, text):
        """Return the ``Deployment`` in a settings file with this text."""
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text)
            file.flush()
            return settings.load(file.name)

    def test_settings_of_an_agent(self):
        deployment = self.load(AGENT_SETTINGS)
        self.assertEqual("pool-1", deployment.pool)
        self.assertEqual(Address("10.1.0.14", 7720), deployment.link)
        self.assertEqual(Address("10.1.0.14", 8165), deployment.endpoint)
        self.assertEqual(1_000, deployment.bounds.lease_ms)
        self.assertIsNone(deployment.front)
        self.assertEqual([Address("10.1.0.13", 7720)], deployment.seed_link_addresses)

    def test_all_missing_keys_are_reported_at_once(self):
        text = AGENT_SETTINGS.replace('node = "side-1"', "")
        with self.assertRaises(SettingsError) as caught:
            self.load(text.replace("hold_max_ms = 1000", ""))
        message = str(caught.exception)
        self.assertIn("node", message)
        self.assertIn("bounds.hold_max_ms", message)

    def test_an_unsupported_control_mode_is_refused(self):
        with self.assertRaises(SettingsError) as caught:
            self.load('control_mode = "heartbeat"\n' + AGENT_SETTINGS)
        self.assertIn("heartbeat", str(caught.exception))

    def test_the_command_exits_with_2_without_a_settings_file(self):
        with unittest.mock.patch.dict("os.environ"):
            self.assertEqual(ExitCode.USAGE, main(["deployed-entry"]))

    def test_help_names_each_command(self):
        self.assertIn("deployed-agent", help_text())
        self.assertEqual(ExitCode.OK, main(["--help"]))


class DecodeTests(unittest.TestCase):
    """Decoding of the platform's messages, also of unreadable ones."""

    def test_configuration(self):
        document = configured(7, ("/a/", "/a/b/"))
        table = configuration.decode(msgspec.json.encode(document))
        self.assertEqual(7, table.version)
        self.assertEqual("/a/b/", table.find("jobs.example", "/a/b/x").path_prefix)
        self.assertEqual("/a/", table.find("jobs.example", "/a/c").path_prefix)
        self.assertIsNone(table.find("other.example", "/a/c"))

    def test_a_queue_with_a_policy_service(self):
        document = configured()
        advice = {"decide_ms": 20, "period_ms": 1, "valid_ms": 500}
        document["routes"].append(document["routes"][0] | {"advice": advice})
        table = configuration.decode(msgspec.json.encode(document))
        self.assertEqual([False, True], [r.uses_policy_service for r in table.routes])

    def test_heartbeat(self):
        report = endpoint.decode_heartbeat("i-1", msgspec.json.encode(HEARTBEAT))
        self.assertTrue(report.draining)
        self.assertEqual(Room(16_000, 32_768, 1), report.capacity)
        self.assertEqual(("b", "r1-3"), (report.kind, report.rack))

    def test_unreadable_heartbeats(self):
        cases = [{"state": "asleep"}, {"capacity": 7}, {"seq": "x"}, {"born": None}]
        for change in cases:
            with self.subTest(change=change), self.assertRaises(ValueError):
                data = msgspec.json.encode(HEARTBEAT | change)
                endpoint.decode_heartbeat("i-1", data)
        with self.assertRaises(ValueError):
            endpoint.decode_heartbeat("i-1", b"\xff\xfe")

    def test_heartbeats_of_another_writer_name_no_endpoint(self):
        # Review case 5: fields were missing, and the heartbeat replaced the endpoint.
        allowed = {
            "clock_ms missing",
            "remaining_ms missing",
            "remaining_ms: b'null'",
            "cold_left_ms: b'null'",
            "cold_left_ms: b'-1'",
        }
        for what, data in odd_documents(HEARTBEAT):
            if what in allowed:
                continue
            with self.subTest(what), self.assertRaises(ValueError):
                endpoint.decode_heartbeat("i-1", data)

    def test_heartbeats_with_an_odd_place_or_room_name_no_endpoint(self):
        changes = [
            {"addr": "10.0.0.1:65536"},
            {"addr": f"10.0.0.1:{'9' * 5_000}"},
            {"addr": "nowhere"},
            {"labels": ["a", 7]},
            {"capacity": HEARTBEAT["capacity"] | {"cpu": -1}},
            {"capacity": HEARTBEAT["capacity"] | {"cpu": 2**40}},
            {"capacity": {"cpu": 1_000}},
        ]
        for change in changes:
            with self.subTest(change=str(change)[:80]), self.assertRaises(ValueError):
                data = msgspec.json.encode(HEARTBEAT | change)
                endpoint.decode_heartbeat("i-1", data)

    def test_heartbeats_under_an_odd_id_name_no_endpoint(self):
        # The id is sent in a header of the calls to the endpoint.
        data = msgspec.json.encode(HEARTBEAT)
        for endpoint_id in ("a b", "a\r\nX: y", "é", "a" * 5_000, ""):
            with self.subTest(endpoint_id[:20]), self.assertRaises(ValueError):
                endpoint.decode_heartbeat(endpoint_id, data)

    def test_job(self):
        body = {
            "spec": "x",
            "best_effort": True,
            "steps": [STEP, STEP | {"after": [0]}],
        }
        spec = jobs.decode("00", msgspec.json.encode(body))
        self.assertEqual((0,), spec.steps[1].after)
        self.assertEqual(Room(500, 256, 0), spec.steps[0].room)

    def test_unsupported_jobs_are_distinguished_from_invalid_ones(self):
        unsupported = [
            {"steps": [STEP]},
            {"best_effort": True, "steps": [STEP | {"gang": True}]},
            {"best_effort": True, "long_running": True, "steps": [STEP]},
        ]
        for body in unsupported:
            with self.assertRaises(jobs.UnsupportedJobError):
                jobs.decode("00", msgspec.json.encode(body))
        with self.assertRaises(ValueError) as caught:
            body = {"best_effort": True, "steps": [STEP | {"cpu": -1}]}
            jobs.decode("00", msgspec.json.encode(body))
        self.assertNotIsInstance(caught.exception, jobs.UnsupportedJobError)


class StoreTests(unittest.IsolatedAsyncioTestCase):
    """The client of the row store against its stand-in."""

    async def asyncSetUp(self):
        self.rows = RowsStandIn()
        server = await serve(self.rows, Address("127.0.0.1", 0))
        self.addAsyncCleanup(server.aclose, 0)
        self.store = RowStore(HttpClient(server.address, Clock()))
        self.addAsyncCleanup(self.store.aclose)

    async def test_conditional_writes(self):
        first = Write("key", b"one", ABSENT)
        revision = (await self.store.write("t", [first])).unwrap()
        conflict = (await self.store.write("t", [first])).failure()
        self.assertIs(FaultKind.CONFLICT, conflict.kind)
        self.assertEqual((b"one", revision), (conflict.rows[0].value, revision))
        await self.store.write("t", [Write("key", None, revision)])
        self.assertIsNone((await self.store.read("t", "key")).unwrap())

    async def test_changes_after_the_store_discarded_its_history(self):
        await self.store.write("t", [Write("a", b"1")])
        first_read = (await self.store.changes("t", 0)).unwrap()
        await self.store.write("t", [Write("b", b"2")])
        newer = (await self.store.changes("t", first_read.revision)).unwrap()
        self.assertEqual(["b"], [row.key for row in newer.rows])
        self.rows.truncate_history()
        all_rows = (await self.store.changes("t", first_read.revision)).unwrap()
        self.assertEqual(["a", "b"], [row.key for row in all_rows.rows])

    async def test_many_rows_are_read_in_pages(self):
        for number in range(7):
            writes = [Write(f"{number}-{i:03}", b"x") for i in range(100)]
            await self.store.write("t", writes)
        changes = (await self.store.changes("t", 0)).unwrap()
        self.assertEqual(700, len(changes.rows))

    async def test_a_refused_write_was_not_applied(self):
        self.rows.busy = True
        fault = (await self.store.write("t", [Write("a", b"1")])).failure()
        self.assertIs(FaultKind.NOT_APPLIED, fault.kind)

    async def test_a_write_without_an_answer_may_have_been_applied(self):
        self.rows.lose_replies = 1
        fault = (await self.store.write("t", [Write("a", b"1")])).failure()
        self.assertIs(FaultKind.UNKNOWN, fault.kind)
        self.assertEqual(b"1", (await self.store.read("t", "a")).unwrap().value)


class BoundaryTests(unittest.TestCase):
    """Only the adapter and the stand-ins use the platform's names."""

    def test_wire_names_stay_in_the_adapter(self):
        allowed = {"platform", "standins"}
        for path in sorted(PACKAGE.rglob("*.py")):
            if path.relative_to(PACKAGE).parts[0] in allowed:
                continue
            found = WIRE_NAMES.findall(path.read_text())
            self.assertEqual([], found, path)


if __name__ == "__main__":
    unittest.main()
