"""Sends planned jobs to entries over HTTP when they are due and records the results.

It also checks the answers: a complete one must hold each of the job's tasks once,
with the body that was sent.
"""

import asyncio
import itertools
import time
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from ..protocol import models
from ..transport.http_client import HttpClient, HttpResponse, NotSent
from .ideal import ideal_ms
from .recorder import Ending, JobRecord

MAX_CONNECTIONS = 8_000
LONG_POLL_MS = 30_000
ANSWER_TIMEOUT_MS = 90_000
STATUS_OK = 200
STATUS_RUNNING = 202
JSON_TYPE = (b"Content-Type", b"application/json")

_ANSWER = msgspec.json.Decoder(models.AnswerModel)
_ERROR = msgspec.json.Decoder(models.ErrorModel)


class Echo(msgspec.Struct):
    """The checked part of an endpoint stand-in's answer."""

    index: int
    body: dict


@dataclass(slots=True)
class IncompleteJob:
    """A job that did not end complete, and what its caller was told.

    ``entry`` is the index of the entry that was called last.
    """

    number: int
    entry: int
    submission: str
    ending: Ending
    detail: str


@dataclass(slots=True)
class RunCounts:
    """Counts of a run that the recorder does not have."""

    task_reasons: Counter = field(default_factory=Counter)
    refusals: Counter = field(default_factory=Counter)
    incomplete_jobs: list[IncompleteJob] = field(default_factory=list)
    wrong_answers: int = 0
    latest_send_ms: float = 0.0


class LoadRunner:
    """Sends jobs open-loop to the entries, round-robin like a load balancer."""

    def __init__(self, addresses, clock, fleet, recorder):
        self._clients = [
            HttpClient(address, clock, max_connections=MAX_CONNECTIONS)
            for address in addresses
        ]
        self._entry_indexes = itertools.cycle(range(len(self._clients)))
        self._fleet = fleet
        self._recorder = recorder
        self._counts = RunCounts()
        self._started_s = 0.0

    @property
    def counts(self):
        """Counts of refusals, task failures, wrong answers and incomplete jobs."""
        return self._counts

    async def run(self, jobs, *, measured_from_ms=0.0):
        """Send each job when it is due; return once all have ended.

        Jobs due before ``measured_from_ms`` are sent but not recorded.
        """
        self._started_s = time.perf_counter()
        send_tasks = []
        for job in jobs:
            wait_ms = job.due_ms - self.now_ms()
            if wait_ms > 0:
                await asyncio.sleep(wait_ms / 1000)
            late_ms = self.now_ms() - job.due_ms
            self._counts.latest_send_ms = max(self._counts.latest_send_ms, late_ms)
            is_measured = job.due_ms >= measured_from_ms
            send_tasks.append(asyncio.create_task(self._send(job, is_measured)))
        await asyncio.gather(*send_tasks)

    def now_ms(self):
        """Return the time in ms since the start of the run."""
        return (time.perf_counter() - self._started_s) * 1000

    async def aclose(self):
        """Close all connections."""
        for client in self._clients:
            await client.aclose()

    async def _send(self, job, is_measured):
        body = _encode_job(job)
        path = b"/v1/submissions?wait_ms=%d" % LONG_POLL_MS
        for _ in self._clients:
            entry = next(self._entry_indexes)
            result = await self._call(entry, b"POST", path, body)
            if not isinstance(result, NotSent):
                break
        while isinstance(result, HttpResponse) and result.status == STATUS_RUNNING:
            submission = _ANSWER.decode(result.body).id
            poll_path = b"/v1/submissions/%b?wait_ms=%d" % (
                submission.encode(),
                LONG_POLL_MS,
            )
            result = await self._call(entry, b"GET", poll_path)
        response_ms = self.now_ms() - job.due_ms
        ending = self._classify_result(job, entry, result)
        if is_measured:
            run_times_ms = [task.run_ms for task in job.tasks]
            self._recorder.add(
                JobRecord(
                    class_name=job.class_name,
                    due_ms=job.due_ms,
                    response_ms=response_ms,
                    ideal_ms=ideal_ms(run_times_ms, self._fleet),
                    ending=ending,
                    tasks=len(run_times_ms),
                    work_ms=job.work_ms,
                )
            )

    async def _call(self, entry, method, path, body=b""):
        headers = (JSON_TYPE,) if body else ()
        return await self._clients[entry].request(
            method, path, body, headers, timeout_ms=ANSWER_TIMEOUT_MS
        )

    def _classify_result(self, job, entry, result):
        if not isinstance(result, HttpResponse):
            ending = Ending.NOT_RUN if isinstance(result, NotSent) else Ending.UNKNOWN
            self._record_incomplete_job(job, entry, "", ending, type(result).__name__)
            return ending
        if result.status != STATUS_OK:
            error = _ERROR.decode(result.body).error
            self._counts.refusals[error.code] += 1
            ending = Ending.NOT_RUN if error.not_run else Ending.UNKNOWN
            self._record_incomplete_job(job, entry, "", ending, error.code)
            return ending
        answer = _ANSWER.decode(result.body)
        if answer.state == "complete":
            if not _has_all_tasks(job, answer):
                self._counts.wrong_answers += 1
            return Ending.COMPLETE
        self._counts.task_reasons.update(
            task.reason for task in answer.tasks if task.reason
        )
        ending = Ending.NOT_RUN if answer.not_run else Ending.FAILED
        self._record_incomplete_job(job, entry, answer.id, ending, _main_reason(answer))
        return ending

    def _record_incomplete_job(self, job, entry, submission, ending, detail):
        self._counts.incomplete_jobs.append(
            IncompleteJob(job.number, entry, submission, ending, detail)
        )


def _encode_job(job):
    tasks = [
        {
            "index": task.index,
            "body": {"sleep_ms": round(task.run_ms, 3)},
            "declared_ms": task.declared_ms,
        }
        for task in job.tasks
    ]
    return msgspec.json.encode({"class": job.class_name, "tasks": tasks})


def _has_all_tasks(job, answer):
    """Return whether the answer holds each task once, with the body sent for it."""
    sent = {task.index: {"sleep_ms": round(task.run_ms, 3)} for task in job.tasks}
    received = {}
    for task in answer.tasks:
        echo = msgspec.json.decode(task.body, type=Echo)
        if echo.index == task.index:
            received[task.index] = echo.body
    return received == sent and len(answer.tasks) == len(sent)


def _main_reason(answer):
    reasons = Counter(task.reason for task in answer.tasks if task.reason)
    reasons.pop("cancelled", None)
    return reasons.most_common(1)[0][0] if reasons else "cancelled"
