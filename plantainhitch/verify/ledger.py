"""Checks the endpoints' ledgers of starts against what callers were told.

A ``CallHistory`` records every job and request of a test run and each answer that
came back; ``violations`` checks them against the starts that the endpoints recorded.
Jobs and requests are identified by the trace id of their calls, which entries and
agents forward to the endpoint.
"""

import itertools
import secrets
from collections import Counter, defaultdict
from dataclasses import dataclass, field

SUCCEEDED = "succeeded"
NOT_RUN = "not_run"
COMPLETE = "complete"
FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Start:
    """One start at an endpoint; ``start_ms`` is wall-clock time."""

    endpoint: str
    submission: str
    index: int
    attempt: int
    trace_id: str
    start_ms: int

    @classmethod
    def from_ledger_entry(cls, endpoint, entry):
        """Return the start described by a decoded ledger entry of a stand-in."""
        parts = entry["traceparent"].split("-")
        return cls(
            endpoint=endpoint,
            submission=entry["submission"],
            index=entry["index"],
            attempt=entry["attempt"],
            trace_id=parts[1] if len(parts) > 1 else "",
            start_ms=entry["start_ms"],
        )


@dataclass(slots=True)
class JobRecord:
    """One job: the bodies sent, by index, and what callers were told about it.

    ``answers`` are decoded final answers; ``refusals`` holds for each refused
    call whether the refusal said that nothing ran. A caller that resubmits applies
    that to the job, not to the single call, so it must be true of all calls of the
    job.
    """

    trace_id: str
    bodies: dict
    answers: list = field(default_factory=list)
    refusals: list = field(default_factory=list)

    @property
    def traceparent(self):
        """The value of the ``traceparent`` header that carries the trace id."""
        return f"00-{self.trace_id}-{self.trace_id[:16]}-00"


@dataclass(slots=True)
class RequestRecord:
    """One request; ``answer`` is decoded, None if none was received."""

    trace_id: str
    body: object
    repeatable: bool
    answer: dict | None = None
    refused_as_not_run: bool = False

    @property
    def traceparent(self):
        """The value of the ``traceparent`` header that carries the trace id."""
        return f"00-{self.trace_id}-{self.trace_id[:16]}-00"


class CallHistory:
    """Every job and request of a test run."""

    def __init__(self):
        self._jobs = {}
        self._requests = {}
        self._sequence = itertools.count(1)
        self._prefix = secrets.token_hex(8)

    @property
    def jobs(self):
        """The jobs in order of creation."""
        return list(self._jobs.values())

    @property
    def requests(self):
        """The requests in order of creation."""
        return list(self._requests.values())

    def new_job(self, bodies):
        """Return a new record of a job with ``bodies`` by task index."""
        job = JobRecord(self._new_trace_id(), bodies)
        self._jobs[job.trace_id] = job
        return job

    def new_request(self, body, repeatable):
        """Return a new record of a single request."""
        request = RequestRecord(self._new_trace_id(), body, repeatable)
        self._requests[request.trace_id] = request
        return request

    def violations(self, starts):
        """Return a description of each violation found in ``starts`` and answers."""
        by_trace_id = defaultdict(list)
        for start in starts:
            by_trace_id[start.trace_id].append(start)
        found = list(self._check_trace_ids(by_trace_id))
        for job in self._jobs.values():
            found += _check_job(job, by_trace_id[job.trace_id])
        for request in self._requests.values():
            found += _check_request(request, by_trace_id[request.trace_id])
        return found

    def _new_trace_id(self):
        return f"{self._prefix}{next(self._sequence):016x}"

    def _check_trace_ids(self, by_trace_id):
        for trace_id, starts in by_trace_id.items():
            if trace_id not in self._jobs and trace_id not in self._requests:
                yield f"{len(starts)} starts of unknown trace id {trace_id!r}"


def _check_job(job, starts):
    counts = Counter(start.index for start in starts)
    for index, count in counts.items():
        if count > 1:
            yield f"job {job.trace_id}: task {index} started {count} times"
    if len({start.submission for start in starts}) > 1:
        yield f"job {job.trace_id}: ran under several submissions"
    for answer in job.answers:
        yield from _check_answer(job, answer, counts)
    if job.answers and any(answer != job.answers[0] for answer in job.answers):
        yield f"job {job.trace_id}: callers were told different things"
    if counts and any(job.refusals):
        yield f"job {job.trace_id}: refused as not run, and ran"


def _check_answer(job, answer, counts):
    answered = {task["index"]: task for task in answer["tasks"]}
    name = f"job {job.trace_id}"
    if answer["state"] not in (COMPLETE, FAILED):
        yield f"{name}: answer is neither complete nor failed: {answer['state']}"
    has_every_task = set(answered) == set(job.bodies) and len(answer["tasks"]) == len(
        answered
    )
    succeeded = all(task["outcome"] == SUCCEEDED for task in answered.values())
    if (answer["state"] == COMPLETE) != (has_every_task and succeeded):
        yield f"{name}: marked {answer['state']}, {len(answered)} of {len(job.bodies)}"
    if answer["not_run"] and counts:
        yield f"{name}: said not run, and {len(counts)} tasks ran"
    for index, task in answered.items():
        if task["outcome"] == NOT_RUN and counts[index]:
            yield f"{name}: task {index} said not run, and ran"
        if task["outcome"] == SUCCEEDED:
            yield from _check_body(name, index, task["body"], job.bodies.get(index))
            if not counts[index]:
                yield f"{name}: task {index} succeeded without a start"


def _check_body(name, index, answered, sent):
    if answered["index"] != index or answered["body"] != sent:
        yield f"{name}: task {index} has another task's answer: {answered}"


def _check_request(request, starts):
    name = f"request {request.trace_id}"
    if not request.repeatable and len(starts) > 1:
        yield f"{name}: unrepeatable, started {len(starts)} times"
    answer = request.answer
    said_not_run = request.refused_as_not_run
    if answer is not None:
        said_not_run = said_not_run or answer.get("not_run", False)
        if answer["outcome"] == SUCCEEDED:
            yield from _check_body(name, 0, answer["body"], request.body)
    if said_not_run and starts:
        yield f"{name}: said not run, and ran"
