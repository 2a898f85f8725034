"""Signals to the deployed programs, from their first moments to their last.

Guards against review case 10: SIGHUP soon after the start ended a process, as nothing
handled it yet.
"""

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

from plantainhitch import signal_mask
from plantainhitch.commands import lifecycle

from .deployed_world import EARLY_LIBRARY
from .loopback import HOSTS

ROOT = Path(__file__).resolve().parent.parent
ROLES = ("deployed-entry", "deployed-agent")
POLL_S = 0.002
TIMEOUT_S = 20.0
START_ATTEMPTS = 5
SETTINGS = """
changed = 0
node = "node-1"
zone = "z1"
region = "r1"
ip = "{host}"
port_range = [7700, 7715]
seeds = []
heartbeat_ms = 200
control_mode = "invoke"
service = "pool-1"
app = "{host}:7900"
[listen]
front = "{host}:7800"
readiness = "{host}:7801"
control = "{host}:7802"
[platform]
addr = "{host}:7901"
[bounds]
drain_ms = 2000
hold_max_ms = 1000
stop_timeout_ms = 50
retransmit_ms = 1300
grace_s = 6
config_apply_ms = 2000
"""


class Program:
    """One process of a role; nothing answers at the addresses in its settings."""

    def __init__(self, role, folder):
        self._role = role
        self._settings = Path(folder, "settings.toml")
        self._settings.write_text(SETTINGS.format(host=HOSTS.next_host()))
        self._log = Path(folder, "log")
        self._process = None

    async def start(self):
        """Start the process."""
        with self._log.open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "plantainhitch", self._role),
                cwd=ROOT,
                env=os.environ | {"PLANTAINHITCH_CONFIG": str(self._settings)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def change_settings(self, text, replacement):
        """Replace a text in the settings file."""
        content = self._settings.read_text()
        self._settings.write_text(content.replace(text, replacement))

    def send(self, *numbers):
        """Send signals, unless the process has ended.

        The method of the subprocess would take the exit code of one that has.
        """
        for number in numbers:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self._process.returncode is None

    async def wait_for_library(self, name):
        """Wait until the process has loaded a library whose path has this name."""
        maps = Path(f"/proc/{self._process.pid}/maps")
        await self._wait_until(lambda: name in maps.read_text())

    async def wait_for_log(self, message, count=1):
        """Wait until the process has logged a message so often; return its lines."""
        await self._wait_until(lambda: len(self.lines(message)) >= count)
        return self.lines(message)

    def lines(self, message):
        """Return the lines of the log with a message, decoded."""
        texts, _, _ = self._log.read_text().rpartition("\n")
        lines = [
            json.loads(text) for text in texts.splitlines() if text.startswith("{")
        ]
        return [line for line in lines if line["message"] == message]

    async def wait(self):
        """Wait for the end of the process; return its exit code."""
        async with asyncio.timeout(TIMEOUT_S):
            return await self._process.wait()

    async def kill(self):
        """Kill the process if it runs."""
        if self.is_running:
            self._process.kill()
            await self._process.wait()

    async def _wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                if not self.is_running:
                    raise AssertionError(f"ended with {self._process.returncode}")
                await asyncio.sleep(POLL_S)


class EarlySignalTests(unittest.IsolatedAsyncioTestCase):
    """Signals while the modules of a program are loaded."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    async def start(self, role):
        """Start a program and return it while it loads its modules."""
        for _ in range(START_ATTEMPTS):
            program = Program(role, self.folder)
            self.addAsyncCleanup(program.kill)
            await program.start()
            await program.wait_for_library(EARLY_LIBRARY)
            if not program.lines("started"):
                return program
            await program.kill()  # this process was held up meanwhile
        raise AssertionError("each program had started before it was seen to load")

    async def test_a_change_of_the_settings_ends_no_process_and_is_noticed(self):
        for role in ROLES:
            with self.subTest(role=role):
                program = await self.start(role)
                program.send(signal.SIGHUP)
                await program.wait_for_log("started")
                await program.wait_for_log("settings reloaded")
                program.send(signal.SIGTERM)
                self.assertEqual(0, await program.wait())

    async def test_a_stop_is_orderly(self):
        for role in ROLES:
            for numbers in ((signal.SIGTERM,), (signal.SIGTERM,) * 2, (signal.SIGINT,)):
                with self.subTest(role=role, numbers=numbers):
                    program = await self.start(role)
                    program.send(*numbers)
                    self.assertEqual(0, await program.wait())
                    self.assertEqual(1, len(program.lines("stopped")))


class LateSignalTests(unittest.IsolatedAsyncioTestCase):
    """Signals while a program drains and ends."""

    async def test_no_signal_changes_the_exit_code(self):
        for role in ROLES:
            with self.subTest(role=role), tempfile.TemporaryDirectory() as folder:
                program = Program(role, folder)
                self.addAsyncCleanup(program.kill)
                await program.start()
                await program.wait_for_log("started")
                program.change_settings('"r1"', '"r2"')
                program.send(signal.SIGHUP)
                (line,) = await program.wait_for_log("settings reloaded")
                self.assertEqual(["region"], line["changed"])
                program.send(signal.SIGTERM)
                while program.is_running:
                    program.send(signal.SIGHUP, signal.SIGINT)
                    await asyncio.sleep(POLL_S)
                self.assertEqual(0, await program.wait())


class SettingsTests(unittest.IsolatedAsyncioTestCase):
    """A change of the settings between their reading and the handlers."""

    async def test_a_signal_that_was_held_back_is_delivered(self):
        signal_mask.block()
        self.addCleanup(signal_mask.unblock)
        # Threads of earlier tests would take a signal to the process.
        this_thread = threading.get_ident()
        signal.pthread_kill(this_thread, signal.SIGHUP)
        self.assertIn(signal.SIGHUP, signal.sigpending())
        signals = lifecycle.StopSignals.install()
        await asyncio.sleep(0)
        self.assertFalse(signals.reload.is_set())
        node = mock.Mock(run=lambda drain: drain.wait())
        running = lifecycle.run_until_stopped(node, signals, 1_000)
        task = asyncio.create_task(running)
        async with asyncio.timeout(TIMEOUT_S):
            await signals.reload.wait()
        self.assertFalse(signals.drain.is_set())
        signal.pthread_kill(this_thread, signal.SIGTERM)
        self.assertFalse(await task)
        for number in signal_mask.HANDLED_SIGNALS:
            asyncio.get_running_loop().remove_signal_handler(number)


class CommandTests(unittest.TestCase):
    """Which commands hold signals back."""

    def tearDown(self):
        signal_mask.unblock()

    def test_short_commands_can_be_interrupted_while_they_load(self):
        for arguments in ([], ["submit"], ["--help"], ["demo", "entry"]):
            signal_mask.block_for_command(arguments)
            blocked = signal_mask.current()
            self.assertEqual(set(), blocked & signal_mask.HANDLED_SIGNALS)

    def test_long_running_commands_hold_signals_back(self):
        for command in signal_mask.LONG_RUNNING_COMMANDS:
            signal_mask.unblock()
            signal_mask.block_for_command([command, "--settings=x"])
            self.assertLessEqual(signal_mask.HANDLED_SIGNALS, signal_mask.current())

    def test_the_mask_is_as_before_once_a_process_has_run(self):
        # Guards against a program that runs a command itself, as these tests do, and
        # can't be interrupted any more.
        for block in (signal_mask.unblock, signal_mask.block):
            block()
            before = signal_mask.current()
            lifecycle.run_process(self.serve())
            self.assertEqual(before, signal_mask.current())

    async def serve(self):
        """Do what a command does with the mask."""
        signal_mask.unblock()


if __name__ == "__main__":
    unittest.main()
