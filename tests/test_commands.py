"""Commands against a real HTTP server with a fake node: output and exit codes."""

import asyncio
import contextlib
import io
import json
import socket
import tempfile
import unittest
from pathlib import Path

import logbook

from plantainhitch.clock import ManualClock
from plantainhitch.commands import demo
from plantainhitch.commands.client import Answered, NoReply, Refused
from plantainhitch.commands.exit_codes import ExitCode
from plantainhitch.commands.jobs import JobRunner, encode_job, read_bodies
from plantainhitch.commands.main import main
from plantainhitch.outcomes import Failed, Reason
from plantainhitch.protocol import json_codec
from plantainhitch.protocol.calls import JobAnswer, JobState, Submit
from plantainhitch.protocol.errors import ErrorCode
from plantainhitch.protocol.models import ErrorBody
from plantainhitch.state.classes import ClassDefinition
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.entry_http import create_app, serve

from .fake_node import FakeNode

CLASSES = "[classes.render]\nanswers_within_ms = {target}\n"
SETTINGS = """
[process]
name = "x"
zone = "a"
[listen]
http = "{http}"
link = "{link}"
[platform]
address = "127.0.0.1:1"
"""
JOB = encode_job("render", [b'{"a":1}', b"2"])


class CommandTests(unittest.IsolatedAsyncioTestCase):
    """Commands run through ``main`` in a thread, against a server in this process."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.node = FakeNode()
        self.server = await serve(create_app(self.node), Address("127.0.0.1", 0))

    async def asyncTearDown(self):
        await self.server.aclose(grace_ms=0)

    async def run_command(self, *words):
        """Return (exit code, standard output, standard error)."""
        out = io.TextIOWrapper(io.BytesIO(), write_through=True)
        errors = io.StringIO()
        words = [*words, f"--entry={self.server.address}"]
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(errors):
            code = await asyncio.to_thread(main, words)
        return code, out.buffer.getvalue().decode(), errors.getvalue()

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return str(path)

    async def submit(self, *words, text='{"a": 1}\n\n[2]\n'):
        file = self.write("job.jsonl", text)
        return await self.run_command("submit", "--class", "render", file, *words)

    async def test_submit_writes_complete_answers(self):
        code, out, _ = await self.submit()
        self.assertEqual((code, out), (0, '{"a": 1}\n[2]\n'))
        target = self.folder / "answers"
        code, out, _ = await self.submit("--output", str(target), "--json")
        self.assertEqual((code, out), (0, ""))
        self.assertEqual(json.loads(target.read_text())["state"], "complete")
        self.assertEqual(sorted(p.name for p in self.folder.iterdir())[0], "answers")

    async def test_submit_writes_no_output_for_a_failed_job(self):
        handle_call = self.node.handle_call

        async def answer(call):
            if not isinstance(call, Submit):
                return await handle_call(call)
            outcomes = {0: Failed(Reason.TASK_FAILED, "no widget")}
            whole = await handle_call(call)
            return JobAnswer(
                call.submission, JobState.FAILED, {**whole.outcomes, **outcomes}
            )

        self.node.handle_call = answer
        target = self.folder / "answers"
        code, out, errors = await self.submit("--output", str(target))
        self.assertEqual((code, out, target.exists()), (1, "", False))
        self.assertIn("task 0: failed, task_failed (no widget)", errors)

    def test_invalid_numbers_and_addresses_are_usage_errors(self):
        cases = (
            "classes history --limit abc",
            "classes history --limit 0",
            "classes apply nowhere.toml --base x",
            "load --load -1",
            "load --seconds abc",
            "submit --class x --file nowhere --declared_ms soon",
            "standin platform --listen nonsense",
            "standin endpoint --slots none",
            "standin endpoint --speed 0",
            "standin endpoint --agent here",
        )
        for words in cases:
            with self.subTest(words):
                printed = io.StringIO()
                with contextlib.redirect_stderr(printed):
                    self.assertEqual(main(words.split()), ExitCode.USAGE)
                self.assertIn(words.split()[-2], printed.getvalue())

    async def test_submit_calls_no_entry_with_an_invalid_job_file(self):
        cases = {
            "one bad line": '{"a": 1}\n{"a"\n',
            "too many": "1\n" * 1_001,
            "no": "",
        }
        for name, text in cases.items():
            with self.subTest(name):
                code, _, errors = await self.submit(text=text)
                self.assertEqual(code, 2)
                self.assertIn("line ", errors)
        self.assertEqual((await self.run_command("submit"))[0], 2)
        self.assertEqual((await self.run_command("submit", "a", "missing"))[0], 2)
        self.assertEqual(self.node.calls, [])

    async def test_classes(self):
        first = self.write("first.toml", CLASSES.format(target=400))
        code, out, _ = await self.run_command("classes", "apply", first)
        self.assertEqual(code, 0)
        self.assertIn("version 1 is accepted", out)
        other = {"render": ClassDefinition("render", 300)}
        await self.node.configuration.apply(1, "c2", "mali", other, {})
        code, _, errors = await self.run_command("classes", "apply", first, "--base=1")
        self.assertEqual(code, 1)
        self.assertIn("version 2 by mali:", errors)
        self.assertIn("classes.render.answers_within_ms: 400 -> 300", errors)
        code, shown, _ = await self.run_command("classes", "show")
        again = self.write("shown.toml", shown)
        code, out, _ = await self.run_command("classes", "apply", again)
        self.assertEqual((code, out), (0, "version 3 is accepted\n"))
        self.assertEqual(self.node.configuration.current.classes, other)
        code, out, _ = await self.run_command("classes", "history")
        self.assertIn("mali", out)
        bad = self.write("bad.toml", CLASSES.format(target=0))
        for words in (("classes", "apply"), ("check",)):
            code, _, errors = await self.run_check(*words, bad)
            self.assertEqual(code, 2)
            self.assertIn(f"{bad}:2: classes.render.answers_within_ms = 0", errors)

    async def run_check(self, command, *words):
        if command != "check":
            return await self.run_command(command, *words)
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            return main([command, *words]), "", errors.getvalue()

    async def test_operator_commands(self):
        code, out, _ = await self.run_command("endpoints", "show")
        self.assertEqual(code, 0)
        self.assertIn("endpoint-1", out)
        code, out, _ = await self.run_command("endpoints", "drain", "endpoint-1")
        self.assertEqual((code, out), (0, "endpoint-1: draining\n"))
        code, _, errors = await self.run_command("endpoints", "resume", "x/y")
        self.assertEqual(code, 1)
        self.assertIn("not_found", errors)
        code, out, _ = await self.run_command("status", "--json")
        self.assertEqual(json.loads(out)["name"], "entry-1")
        code, _, errors = await self.run_command("endpoints", "drain", "1e3")
        self.assertIn("no endpoint '1e3'", errors)
        self.assertEqual((await self.run_command("cancel", "abc"))[0], 1)

    async def test_ids_may_begin_with_a_hyphen(self):
        """Submission ids are base64url text, which may look like an option to fire."""
        id_text = f"--{self.node.issuer.issue(1)[0].to_text()[2:]}"
        code, out, _ = await self.run_command("cancel", id_text)
        self.assertEqual((code, out), (0, f"{id_text}: complete, 0 tasks succeeded\n"))
        for words in ([f"--submission={id_text}"], ["--submission", id_text]):
            code, _, errors = await self.submit(*words)
            self.assertEqual(code, 0, errors)
            submitted = json_codec.id_text(self.node.calls[-1].submission)
            self.assertEqual(submitted, id_text)


class StartTests(unittest.TestCase):
    """Long-running commands that can't start."""

    def test_an_address_in_use_is_logged_and_fails(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            port = server.getsockname()[1]
            for name, listen in (
                ("entry", ("127.0.0.1:0", f"127.0.0.1:{port}")),
                ("agent", (f"127.0.0.1:{port}", "127.0.0.1:0")),
            ):
                with self.subTest(name), tempfile.TemporaryDirectory() as folder:
                    path = Path(folder) / "settings.toml"
                    path.write_text(SETTINGS.format(http=listen[0], link=listen[1]))
                    errors = io.StringIO()
                    with contextlib.redirect_stderr(errors):
                        self.assertEqual(main([name, "--settings", str(path)]), 1)
                    logbook.Handler.stack_manager.pop_application()
                    line = json.loads(errors.getvalue().splitlines()[-1])
                    self.assertEqual(line["message"], "can't listen")
                    self.assertIn(str(port), line["error"])


class ScriptedClient:
    """Returns given replies in order; ``sent`` has the method and path of each call."""

    def __init__(self, replies):
        self._replies = list(replies)
        self.sent = []

    async def call(self, method, path, body=None, timeout_ms=0):
        """Return the next reply; the last one is repeated."""
        self.sent.append((method, path.partition("?")[0]))
        if len(self._replies) > 1:
            return self._replies.pop(0)
        return self._replies[0]


def refused(code, not_run=False):
    """Return a refusal with the error code ``code``."""
    return Refused(503, ErrorBody(code.value, "no", not_run))


def answered(state, outcome, status=200):
    """Return an answer in ``state`` whose only task has ``outcome``."""
    answer = {"id": "i", "state": state, "not_run": False, "tasks": []}
    if status == 200:
        answer["tasks"] = [{"index": 0, "outcome": outcome}]
    return Answered(status, json.dumps(answer).encode())


OK = ExitCode.OK
IDS = Answered(200, b'{"ids": ["i"]}')
COMPLETE = answered("complete", "succeeded")
RUNNING = answered("running", "", 202)
LOST = NoReply("reset", sent=True)
NOT_SENT = NoReply("refused", sent=False)


class JobRunnerTests(unittest.IsolatedAsyncioTestCase):
    """Retries and exit codes of ``JobRunner`` when replies are lost or refused."""

    async def run_job(self, *replies):
        client = ScriptedClient(replies)
        runner = JobRunner(client, ManualClock(), 60_000)
        return await runner.run(JOB), client

    async def test_exit_codes(self):
        unreachable = refused(ErrorCode.OWNER_UNREACHABLE)
        overloaded = refused(ErrorCode.OVERLOADED, not_run=True)
        id_refused = refused(ErrorCode.ID_REFUSED, not_run=True)
        cases = [
            ("complete", [IDS, COMPLETE], OK),
            ("waits", [IDS, RUNNING, RUNNING, COMPLETE], OK),
            ("lost reply", [IDS, LOST, COMPLETE], OK),
            ("lost wait", [IDS, RUNNING, LOST, COMPLETE], OK),
            ("unreachable owner", [IDS, unreachable, COMPLETE], OK),
            ("overload passes", [overloaded, IDS, overloaded, IDS, COMPLETE], OK),
            ("id closed meanwhile", [IDS, LOST, id_refused, IDS, COMPLETE], OK),
            ("not this call", [IDS, LOST, overloaded, COMPLETE], OK),
            ("failed", [IDS, answered("failed", "failed")], ExitCode.FAILED),
            ("in doubt", [IDS, answered("failed", "unknown")], ExitCode.UNKNOWN),
            ("no entry", [NOT_SENT], ExitCode.FAILED),
            ("overload stays", [IDS, overloaded], ExitCode.FAILED),
            ("never a reply", [IDS, LOST], ExitCode.UNKNOWN),
            ("sent once", [IDS, LOST, NOT_SENT], ExitCode.UNKNOWN),
            ("bad", [IDS, refused(ErrorCode.CLASS_UNKNOWN, True)], ExitCode.USAGE),
            ("owner lost", [IDS, refused(ErrorCode.OWNER_LOST)], ExitCode.UNKNOWN),
            ("crash", [IDS, refused(ErrorCode.INTERNAL)], ExitCode.UNKNOWN),
            (
                "id gone after a lost reply",
                [IDS, LOST, refused(ErrorCode.ID_UNKNOWN, True)],
                ExitCode.UNKNOWN,
            ),
        ]
        for name, replies, code in cases:
            with self.subTest(name):
                result, _ = await self.run_job(*replies)
                self.assertEqual(result.code, code, result.detail)

    async def test_a_lost_reply_is_followed_by_a_submission_under_the_same_id(self):
        _, client = await self.run_job(IDS, RUNNING, LOST, LOST, COMPLETE)
        path = "/v1/submissions/i"
        methods = ["PUT", "GET", "PUT", "PUT"]
        self.assertEqual(client.sent[1:], [(method, path) for method in methods])

    async def test_a_given_id_is_the_only_one_used(self):
        client = ScriptedClient([refused(ErrorCode.ID_REFUSED, not_run=True)])
        result = await JobRunner(client, ManualClock(), 60_000).run(JOB, "given")
        self.assertEqual(result.code, ExitCode.FAILED)
        self.assertEqual(client.sent, [("PUT", "/v1/submissions/given")])

    def test_task_bodies_are_sent_byte_for_byte(self):
        bodies, bad_lines = read_bodies(b' {"a": 1.50} \n\n[1 ,2]\n')
        self.assertEqual((bodies, bad_lines), ([b'{"a": 1.50}', b"[1 ,2]"], []))
        self.assertIn(b'"body":{"a": 1.50}', encode_job("render", bodies))


class DemoTests(unittest.TestCase):
    """The demonstration."""

    def test_the_jobs_of_all_classes_complete(self):
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = demo.demo(json=True)
        lines = json.loads(out.getvalue())
        self.assertEqual(code, ExitCode.OK)
        self.assertEqual(
            [line["class_name"] for line in lines],
            ["render", "sync", "ping", "quote", "stock", "booking"],
        )
        self.assertEqual({line["state"] for line in lines}, {"complete"})
