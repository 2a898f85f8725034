"""Tests of the check of starts against answers: each kind of violation is found."""

import unittest

from plantainhitch.verify.ledger import CallHistory, Start


class LedgerTests(unittest.TestCase):
    """A job of two tasks and a request: correct, then with one violation each."""

    def setUp(self):
        self.history = CallHistory()
        self.job = self.history.new_job({0: "a", 1: "b"})
        self.request = self.history.new_request("c", repeatable=False)
        self.starts = [
            self.start(self.job, 0),
            self.start(self.job, 1),
            self.start(self.request, 0),
        ]
        self.job.answers.append(self.answer("complete", a=0, b=1))
        self.request.answer = {
            "outcome": "succeeded",
            "body": {"index": 0, "body": "c"},
        }

    def start(self, record, index, attempt=1):
        return Start("endpoint-1", record.trace_id, index, attempt, record.trace_id, 0)

    def answer(self, state, **bodies):
        tasks = [
            {
                "index": index,
                "outcome": "succeeded",
                "body": {"index": index, "body": body},
            }
            for body, index in bodies.items()
        ]
        return {"state": state, "not_run": False, "tasks": tasks}

    def not_run(self, *indexes):
        tasks = [{"index": index, "outcome": "not_run"} for index in indexes]
        return {"state": "failed", "not_run": True, "tasks": tasks}

    def assert_violation(self, text):
        violations = self.history.violations(self.starts)
        self.assertTrue(any(text in line for line in violations), violations)

    def test_no_violation(self):
        self.assertEqual(self.history.violations(self.starts), [])

    def test_task_started_twice(self):
        self.starts.append(self.start(self.job, 1, attempt=2))
        self.assert_violation("task 1 started 2 times")

    def test_unrepeatable_request_started_twice(self):
        self.starts.append(self.start(self.request, 0, attempt=2))
        self.assert_violation("unrepeatable, started 2 times")

    def test_task_reported_not_run_but_started(self):
        self.job.answers[:] = [self.not_run(0, 1)]
        self.assert_violation("task 0 said not run, and ran")
        self.assert_violation("said not run, and 2 tasks ran")

    def test_job_refused_as_not_run_but_started(self):
        self.job.answers.clear()
        self.job.refusals.append(True)
        self.assert_violation("refused as not run, and ran")

    def test_request_reported_not_run_but_started(self):
        self.request.answer = {"outcome": "not_run", "not_run": True}
        self.assert_violation("said not run, and ran")

    def test_partial_answer_marked_complete(self):
        self.job.answers[:] = [self.answer("complete", a=0)]
        self.assert_violation("marked complete, 1 of 2")

    def test_answers_of_two_tasks_swapped(self):
        self.job.answers[:] = [self.answer("complete", b=0, a=1)]
        self.assert_violation("another task's answer")

    def test_callers_got_different_answers(self):
        self.job.answers.append(self.answer("failed", a=0))
        self.assert_violation("told different things")

    def test_start_without_a_call(self):
        self.starts.append(Start("endpoint-1", "x", 0, 1, "x", 0))
        self.assert_violation("unknown trace id")
