"""The output of ``plantainhitch explain`` for log lines of entries and agents."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from plantainhitch.commands.exit_codes import ExitCode
from plantainhitch.commands.main import main
from plantainhitch.coordination.evacuation import ALL_EVACUATED_REASON

JOB = "0000000000000012"
TASK = f"{JOB}.0.0.1"
PLACED = {
    "time": "2026-12-04T10:54:53.858",
    "level": "info",
    "logger": "jobs",
    "message": "run placed",
    "process": "entry-1",
    "task": TASK,
    "run": 1,
    "agent": "agent-2",
    "heard_ms_ago": 47,
    "expected_wait_ms": 100,
    "expected_run_ms": 217,
    "due_in_ms": 380,
}
ENDED = {
    "time": "2026-12-04T10:54:53.916",
    "level": "info",
    "logger": "runs",
    "message": "run ended",
    "process": "agent-2",
    "task": TASK,
    "run": 1,
    "end": "LOST",
    "why": "a new lifetime of the endpoint",
    "percent": 0.0,
    "run_ms": 48,
    "free_millis": 4000,
}
NOT_COMPLETED = {
    "time": "2026-12-04T10:54:55.001",
    "level": "info",
    "logger": "jobs",
    "message": "job not completed",
    "process": "entry-1",
    "job": JOB,
    "outcome": "given up: the caller left",
    "took_ms": 1200,
    "objective_ms": 380,
    "waiting_jobs": 4,
    "left_out": 3,
}


class ExplainTests(unittest.TestCase):
    """Log lines of several files, gaps in the logs, and bad arguments."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name, *lines):
        path = self.folder / name
        texts = (line if isinstance(line, str) else json.dumps(line) for line in lines)
        path.write_text("\n".join(texts), encoding="utf-8")
        return str(path)

    def run_command(self, *words):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = main(["explain", *words])
        return code, out.getvalue(), err.getvalue()

    def test_an_evacuation_is_named_as_the_cause_of_a_refusal(self):
        line = {
            "time": "2026-12-04T10:54:53.858",
            "logger": "jobs",
            "message": "job refused",
            "process": "entry-1",
            "job": JOB,
            "why": ALL_EVACUATED_REASON,
            "zones": ["pl-central-a", "pl-central-b"],
        }
        _, out, _ = self.run_command(JOB, self.write("entry.log", line))
        self.assertIn(f"({ALL_EVACUATED_REASON}), evacuated: pl-central-a, pl", out)

    def test_events_of_all_processes_are_in_order_of_time(self):
        entry = self.write("entry.log", NOT_COMPLETED, PLACED)
        agent = self.write("agent.log", ENDED)
        code, out, _ = self.run_command(JOB, entry, agent)
        self.assertEqual(ExitCode.OK, code)
        self.assertIn("given up: the caller left", out)
        self.assertIn("after 1200 ms, with an objective of 380 ms", out)
        placed = out.index(
            "entry-1 placed run 1 on agent-2, last heard from 47 ms before"
        )
        ended = out.index(
            "agent-2 ended run 1 as LOST (a new lifetime of the endpoint)"
        )
        self.assertLess(placed, ended)
        self.assertIn("not in the logs: 3 lines 'job not completed'", out)

    def test_facts_that_no_line_gives_are_listed(self):
        path = self.write("agent.log", ENDED)
        _, out, _ = self.run_command(JOB, path)
        self.assertIn("not in the logs: how the job ended", out)
        self.assertIn(f"not in the logs: which entry placed run 1 of {TASK}", out)

    def test_a_run_without_an_end_is_listed_unless_the_job_completed(self):
        path = self.write("entry.log", PLACED, NOT_COMPLETED)
        self.assertIn(f"how run 1 of {TASK} ended", self.run_command(JOB, path)[1])
        done = NOT_COMPLETED | {"message": "job completed", "outcome": "completed"}
        path = self.write("entry.log", PLACED, done)
        self.assertNotIn("how run 1", self.run_command(JOB, path)[1])

    def test_json_has_the_lines(self):
        path = self.write("entry.log", PLACED, NOT_COMPLETED)
        _, out, _ = self.run_command(JOB, path, "--json")
        explanation = json.loads(out)
        self.assertEqual(
            ["run placed", "job not completed"],
            [line["event"] for line in explanation["lines"]],
        )

    def test_an_unknown_job_fails(self):
        code, out, err = self.run_command(JOB, self.write("x.log", "not a log line"))
        self.assertEqual(ExitCode.FAILED, code)
        self.assertIn(f"no line names {JOB}", out)
        self.assertIn("skipped 1 lines that are not log lines", err)

    def test_bad_arguments_are_refused(self):
        self.assertEqual(ExitCode.USAGE, self.run_command(JOB)[0])
        code, _, err = self.run_command(JOB, str(self.folder / "none.log"))
        self.assertEqual(ExitCode.USAGE, code)
        self.assertIn("none.log", err)

    def test_crashes_of_endpoints_with_tasks_of_the_job_are_named(self):
        crashed = {
            "time": "2026-12-04T10:54:53.900",
            "message": "endpoint crashed",
            "process": "agent-2",
            "why": "nothing listens at the endpoint",
            "runs": 2,
            "tasks": [TASK, "other.0.0.0"],
        }
        path = self.write("agent.log", crashed)
        code, text, _ = self.run_command(JOB, path)
        self.assertEqual(ExitCode.OK, code)
        self.assertIn("crashed (nothing listens at the endpoint) with 2 runs", text)
        self.assertIn(TASK, text)


if __name__ == "__main__":
    unittest.main()
