"""Property tests of input from callers and operators, with generated and damaged data.

The decoder of jobs has to agree with a simple reference check, and no decoder may raise
an error for bad input.
"""

import json
import unittest

from hypothesis import given, settings, strategies as st
from returns.result import Failure, Success

from plantainhitch.protocol import json_codec
from plantainhitch.protocol.calls import MAX_TASKS, Job
from plantainhitch.protocol.errors import ErrorCode, Refusal
from plantainhitch.protocol.models import (
    MAX_DECLARED_MS,
    MAX_INDEX,
    MAX_NAME_CHARACTERS,
)
from plantainhitch.settings import Settings
from plantainhitch.state import class_files

DRAWN = settings(derandomize=True, max_examples=300, deadline=None, database=None)

texts = st.text(st.characters(exclude_categories=["Cs"]), max_size=8)
scalars = st.none() | st.booleans() | st.integers(-(2**40), 2**40) | texts
values = st.recursive(
    scalars | st.floats(allow_nan=False, allow_infinity=False),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(texts, inner, max_size=3)
    ),
    max_leaves=6,
)
tasks = st.fixed_dictionaries(
    {},
    optional={
        "index": st.integers(0, 3) | st.integers(0, 2**33) | scalars,
        "body": values,
        "declared_ms": st.integers(0, 1_000) | scalars,
        "other": values,
    },
)
good_tasks = st.fixed_dictionaries({"index": st.integers(0, 6), "body": values})
jobs = st.fixed_dictionaries(
    {},
    optional={
        "class": st.sampled_from(["render", "", "x" * 201]) | scalars,
        "tasks": st.lists(tasks | good_tasks, max_size=4) | scalars,
        "other": scalars,
    },
) | st.fixed_dictionaries(
    {"class": st.just("sync"), "tasks": st.lists(good_tasks, max_size=4)}
)
tables = st.dictionaries(
    st.sampled_from(["classes", "teams", "process", "listen", "limits", "log"]),
    values | st.dictionaries(texts, values, max_size=3),
    max_size=4,
)


def is_integer_up_to(value, high):
    """Return whether ``value`` is an integer from 0 to ``high``."""
    return type(value) is int and 0 <= value <= high


def is_task(task):
    """Return whether ``task`` is valid: all required fields, and no unknown ones."""
    return (
        isinstance(task, dict)
        and task.keys() <= {"index", "body", "declared_ms"}
        and {"index", "body"} <= task.keys()
        and is_integer_up_to(task["index"], MAX_INDEX)
        and is_integer_up_to(task.get("declared_ms", 0), MAX_DECLARED_MS)
    )


def naive_verdict(job):
    """Return the error code expected for decoded JSON, or None if it is a valid job."""
    if not isinstance(job, dict) or job.keys() != {"class", "tasks"}:
        return ErrorCode.BAD_FIELD
    name, job_tasks = job["class"], job["tasks"]
    if not isinstance(name, str) or not 1 <= len(name) <= MAX_NAME_CHARACTERS:
        return ErrorCode.BAD_FIELD
    if (
        not isinstance(job_tasks, list)
        or not all(map(is_task, job_tasks))
        or not job_tasks
    ):
        return ErrorCode.BAD_FIELD
    if len(job_tasks) > MAX_TASKS:
        return ErrorCode.TOO_MANY_TASKS
    if len({task["index"] for task in job_tasks}) < len(job_tasks):
        return ErrorCode.DUPLICATE_INDEX
    return None


class JsonCodecFuzzTests(unittest.TestCase):
    """Jobs, submission ids, settings and class files, valid or not."""

    @DRAWN
    @given(jobs)
    def test_jobs_against_a_naive_reader(self, drawn):
        found = json_codec.read_job(json.dumps(drawn).encode())
        code = naive_verdict(drawn)
        if code is not None:
            self.assertIsInstance(found, Refusal)
            self.assertEqual((found.code, found.not_run), (code, True))
            return
        self.assertIsInstance(found, Job)
        self.assertEqual(found.class_name, drawn["class"])
        self.assertEqual(
            [(task.index, json.loads(task.body)) for task in found.tasks],
            [(task["index"], task["body"]) for task in drawn["tasks"]],
        )

    @DRAWN
    @given(jobs, st.integers(0, 200), st.binary(max_size=3))
    def test_damaged_jobs(self, drawn, position, junk):
        data = json.dumps(drawn).encode()
        damaged = data[:position] + junk + data[position + len(junk) :]
        for body in (damaged, data[:position], junk):
            found = json_codec.read_job(body)
            self.assertIsInstance(found, Job | Refusal)
            if isinstance(found, Job):
                json.loads(body)

    def test_a_task_body_that_is_not_utf_8(self):
        for damage in (b"\x80", b"\xc3", b"\xff\xfe"):
            body = b'{"class":"sync","tasks":[{"index":0,"body":"a%bz"}]}' % damage
            found = json_codec.read_job(body)
            self.assertIsInstance(found, Refusal)
            self.assertEqual((ErrorCode.BAD_JSON, True), (found.code, found.not_run))

    @DRAWN
    @given(texts | st.binary(max_size=60).map(lambda raw: raw.hex()))
    def test_ids(self, text):
        found = json_codec.read_id(text)
        if not isinstance(found, Refusal):
            self.assertEqual(json_codec.id_text(found), text)

    @DRAWN
    @given(tables)
    def test_settings_and_classes(self, drawn):
        for read in (Settings.from_tables, class_files.from_tables):
            result = read(drawn)
            self.assertIsInstance(result, Success | Failure)
            if isinstance(result, Failure):
                self.assertTrue(all(map(str, result.failure())))
