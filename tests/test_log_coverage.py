"""What the logs say of single runs at the rate of a large deployment."""

import asyncio
import json
import random
import re
import tempfile
import time
from pathlib import Path

import logbook

from plantainhitch import logs
from plantainhitch.explain import Explanation, read_lines
from plantainhitch.protocol import messages as m
from plantainhitch.state.endpoints import End
from plantainhitch.state.jobs import JobSpec, Room, StepSpec

from .deployed_world import RESUBMIT_DELAY_S, World
from .deployment import LEASE_TIMES
from .harness import READY_TIMEOUT_S, ProcessTestCase
from .test_job_scheduler import ROUTE, SchedulerCase

RUNS_PER_S = 290
TASKS_PER_JOB = 4
RUN_MS = 200
STEP_MS = 10
DURATION_MS = 5_000
CAPACITY = Room(64_000, 100_000, 0)
LOST_AGENT = b"one"
LOST_FROM_MS = 2_000
# The deployed programs: callers that submit short jobs for ``LOAD_S``.
CALLERS = 6
LOAD_S = 4.0
LONG_RUN_MS = 2_500
# Longer than the lease of an endpoint.
REFUSAL_S = 1.5
GIVEN_UP = re.compile(
    r"gave up run (?P<run>\d+) on one \(silent for longer than the leases\), "
    r"last heard from (?P<heard_ms_ago>\d+) ms before"
)


class EntryLogTests(SchedulerCase):
    """One entry that places 290 runs a second; one of its agents falls silent."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "entry.log"
        with path.open("w", encoding="utf-8") as stream:
            handler = logbook.StreamHandler(stream, level=logbook.INFO)
            handler.formatter = logs.JsonLineFormatter("entry-1", "0a")
            with handler.applicationbound():
                self.starts_seen = self.play()
        self.lines, unreadable = read_lines(path)
        self.assertEqual(0, unreadable)
        self.texts = path.read_text(encoding="utf-8").splitlines()

    def play(self):
        """Return each start, as (task, run, agent), of ``DURATION_MS``."""
        for name in (b"one", b"two", b"three", b"four"):
            self.join(name, capacity=CAPACITY)
        began_ms = self.clock.now_ms()
        seen, running, submitted = [], [], 0
        while (past_ms := self.clock.now_ms() - began_ms) < DURATION_MS:
            while submitted * TASKS_PER_JOB * 1_000 < past_ms * RUNS_PER_S:
                submitted += 1
                steps = (StepSpec(TASKS_PER_JOB, Room(200, 10, 0), RUN_MS),)
                spec = JobSpec(f"{submitted:016x}", "payload", steps)
                self.scheduler.submit(spec, ROUTE, 60_000, lambda outcome: None)
            for agent, message in self.scheduler.run_round():
                if isinstance(message, m.RunOrders):
                    for start in message.starts:
                        seen.append((*start.key, agent.name))
                        running.append((past_ms + RUN_MS, agent.incarnation, start.key))
            for name in self.links:
                if name == LOST_AGENT and past_ms > LOST_FROM_MS:
                    continue
                ends = [
                    m.RunEnd(key, End.DONE, "", "", RUN_MS)
                    for end_ms, agent, key in running
                    if end_ms <= past_ms and agent == name
                ]
                self.report(name, CAPACITY, ends)
            running = [
                run for run in running if run[0] > past_ms or run[1] == LOST_AGENT
            ]
            self.clock.advance(STEP_MS)
        self.clock.advance(logs.BATCH_INTERVAL_MS)
        self.scheduler.run_round()
        return seen

    def explain(self, task):
        job = task.partition(".")[0]
        return "\n".join(Explanation.from_lines(job, self.lines).sentences)

    def test_every_second_run_can_be_followed(self):
        """The lines of a run that was placed again are not left out by the limit.

        Callers may submit any job again at another entry, so the same holds for those
        of all other runs.
        """
        second_runs = [start for start in self.starts_seen if start[1] > 1]
        self.assertGreater(len(second_runs), 5)
        for task, run, agent in second_runs:
            text = self.explain(task)
            self.assertIn(f"entry-1 placed run {run - 1} on one, last heard", text)
            given_up = GIVEN_UP.search(text)
            self.assertEqual(str(run - 1), given_up["run"])
            self.assertGreater(int(given_up["heard_ms_ago"]), LEASE_TIMES.run_end_ms)
            self.assertIn(f"entry-1 placed run {run} on {agent}, last heard", text)

    def test_every_run_is_named(self):
        """An entry that gets a job again doesn't know it: nothing marks its lines."""
        expected_count = RUNS_PER_S * DURATION_MS / 1_000
        self.assertGreater(len(self.starts_seen), 0.95 * expected_count)
        for task, run, agent in self.starts_seen[::37]:
            self.assertIn(f"placed run {run} on {agent}", self.explain(task))
        text = "\n".join(self.texts)
        for task in {task for task, _, _ in self.starts_seen}:
            self.assertIn(f'"{task}"', text)

    def test_the_volume_is_bounded(self):
        """More jobs make longer lines, not more."""
        counts = {}
        for text in self.texts:
            event = json.loads(text)["message"]
            counts[event] = counts.get(event, 0) + 1
        seconds = DURATION_MS / 1_000 + 1
        batches_per_s = 1_000 / logs.BATCH_INTERVAL_MS
        limit = (logs.MAX_LINES_WITH_RESERVE_PER_S + batches_per_s) * seconds
        self.assertLessEqual(max(counts.values()), limit)
        self.assertNotIn('"left_out"', "\n".join(self.texts))


class DeployedLogTests(ProcessTestCase):
    """The logs of all processes while agents and endpoints are lost under load."""

    async def test_every_run_of_a_task_that_ran_again_is_in_the_logs(self):
        """The record of a second run must name who ordered each, and why."""
        async with World(random.Random(43), entries=2, agents=6) as world:
            load = [asyncio.create_task(self.submit(world)) for _ in range(CALLERS)]
            jobs = [
                asyncio.create_task(
                    world.submit(world.entries[0], tasks=2, run_ms=LONG_RUN_MS)
                )
                for _ in range(5)
            ]
            at_work = await self.wait_for_long_runs(world, 5)
            busy = {run.endpoint for run in at_work}
            refusing, killed, *_ = (
                agent
                for agent, endpoint in zip(world.agents, world.endpoints, strict=True)
                if endpoint.name in busy
            )
            refusing.endpoint.refuse()
            await killed.process.kill()
            await asyncio.sleep(REFUSAL_S)
            refusing.endpoint.heal()
            await killed.start()
            await asyncio.gather(*jobs, *load)
            lines, names = await self.read_logs(world)
            runs = [run for endpoint in world.endpoints for run in endpoint.runs]
        tasks = {run.task for run in runs if run.run > 1}
        self.assertGreater(len(tasks), 1)
        self.assertTrue(any("rows" in line.fields for line in lines), "too little load")
        for run in runs:
            if run.task in tasks:
                text = self.explain(run, lines)
                self.assertIn(f"placed run {run.run} on {names[run.endpoint]}", text)
                if run.outcome != "done":
                    self.assertRegex(text, f"(gave up|was told that) run {run.run} on ")

    async def test_both_owners_of_a_job_are_in_the_logs(self):
        """A resubmission has no mark: the lines of both entries have to show it."""
        async with World(random.Random(44), entries=2, agents=6) as world:
            first, second = world.entries
            load = [asyncio.create_task(self.submit(world)) for _ in range(CALLERS)]
            jobs = [
                asyncio.create_task(
                    world.submit(first, tasks=2, run_ms=LONG_RUN_MS, next_entry=second)
                )
                for _ in range(2)
            ]
            at_work = await self.wait_for_long_runs(world, 2)
            cut_s = time.monotonic()
            first.front.cut()
            records = await asyncio.gather(*jobs)
            first.front.heal()
            await asyncio.gather(*load)
            lines, names = await self.read_logs(world)
            runs = [run for endpoint in world.endpoints for run in endpoint.runs]
        job_ids = {record.job_id for record in records}
        runs = [run for run in runs if run.task.partition(".")[0] in job_ids]
        for run in runs:
            text, agent = self.explain(run, lines), names[run.endpoint]
            # Starts that the first entry has ordered arrive until after the cut.
            is_first = run.began_s < cut_s + RESUBMIT_DELAY_S
            owner = first.name if is_first else second.name
            self.assertIn(f"{owner} placed run {run.run} on {agent}", text)
            if run in at_work:
                given_up = f"gave up run {run.run} on {agent} (the caller left), last"
                self.assertIn(f"{owner} {given_up}", text)
                self.assertIn(
                    f"{agent} began to stop run {run.run} (stopped by the owner), "
                    f"whose owner {owner} was last heard from ",
                    text,
                )

    async def wait_for_long_runs(self, world, count):
        """Wait until ``count`` long runs are at work; return them."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                at_work = [
                    run
                    for endpoint in world.endpoints
                    for run in endpoint.runs
                    if run.payload == str(LONG_RUN_MS) and run.ended_s is None
                ]
                if len(at_work) >= count:
                    return at_work
                await asyncio.sleep(0.01)

    async def read_logs(self, world):
        """Return the lines of all logs, and the agents' names by endpoint."""
        await asyncio.sleep(2 * logs.BATCH_INTERVAL_MS / 1_000)
        lines = [line for node in world.nodes for line in read_lines(node.log)[0]]
        pairs = zip(world.agents, world.endpoints, strict=True)
        return lines, {endpoint.name: agent.name for agent, endpoint in pairs}

    def explain(self, run, lines):
        """Return the sentence on the task of a run."""
        sentences = Explanation.from_lines(run.task.partition(".")[0], lines).sentences
        (text,) = (text for text in sentences if text.startswith(run.task))
        return text

    async def submit(self, world):
        """Submit one job after the other at the first entry."""
        until_s = time.monotonic() + LOAD_S
        while time.monotonic() < until_s:
            await world.submit(world.entries[0], tasks=4, run_ms=30)
