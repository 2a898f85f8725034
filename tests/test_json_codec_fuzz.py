"""Drawn input at the border: the same verdict as a naive reader, and never a crash."""

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


def is_whole(value, high):
    """Return whether ``value`` is a whole number from 0 to ``high``."""
    return type(value) is int and 0 <= value <= high


def is_task(task):
    """Return whether ``task`` has the fields of a task, and no others."""
    return (
        isinstance(task, dict)
        and task.keys() <= {"index", "body", "declared_ms"}
        and {"index", "body"} <= task.keys()
        and is_whole(task["index"], MAX_INDEX)
        and is_whole(task.get("declared_ms", 0), MAX_DECLARED_MS)
    )


def naive_verdict(job):
    """Return the error code for a decoded job, None where it is good."""
    if not isinstance(job, dict) or job.keys() != {"class", "tasks"}:
        return ErrorCode.BAD_FIELD
    name, found = job["class"], job["tasks"]
    if not isinstance(name, str) or not 1 <= len(name) <= MAX_NAME_CHARACTERS:
        return ErrorCode.BAD_FIELD
    if not isinstance(found, list) or not all(map(is_task, found)) or not found:
        return ErrorCode.BAD_FIELD
    if len(found) > MAX_TASKS:
        return ErrorCode.TOO_MANY_TASKS
    if len({task["index"] for task in found}) < len(found):
        return ErrorCode.DUPLICATE_INDEX
    return None


class BorderFuzzTests(unittest.TestCase):
    """Jobs, ids, settings and classes."""

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
