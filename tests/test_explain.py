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
ENVELOPE = ("time", "level", "logger", "message", "process")


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

    def test_rows_of_batches_are_read_as_lines(self):
        """A run that the limit put into a batch must not look as if it were missing."""
        columns = ["ms_ago", *(key for key in PLACED if key not in ENVELOPE)]
        row = [40, *(PLACED[key] for key in columns[1:])]
        other = [30, "ff.0.0.0", *row[2:]]
        batch = {key: PLACED[key] for key in ENVELOPE}
        batch |= {"columns": columns, "rows": [other, row]}
        _, out, _ = self.run_command(JOB, self.write("entry.log", batch, NOT_COMPLETED))
        self.assertIn("10:54:53.818 entry-1 placed run 1 on agent-2, last heard", out)
        self.assertNotIn("ff.0.0.0", out)

    def test_a_batch_of_lost_agents_is_read_as_well(self):
        """Many agents lost at once must not hide which of them had the job's runs."""
        columns = ["ms_ago", "agent", "runs", "heard_ms_ago", "tasks"]
        rows = [
            [5, "agent-1", 1, 40, ["ff.0.0.0"]],
            [4, "agent-2", 1, 41, [PLACED["task"]]],
        ]
        batch = {key: PLACED[key] for key in ENVELOPE} | {
            "message": "agent unlinked",
            "columns": columns,
            "rows": rows,
        }
        _, out, _ = self.run_command(JOB, self.write("entry.log", PLACED, batch))
        self.assertIn("agent unlinked, agent-2, last heard from 41 ms before", out)
        self.assertNotIn("agent-1", out)

    def test_who_ordered_a_run_and_why_it_was_given_up(self):
        """Both sides of a second run: the entry's reason and the agent's lease."""
        given_up = {
            "time": "2026-12-04T10:54:54.100",
            "message": "run given up",
            "process": "entry-1",
            "incarnation": "0a",
            "task": TASK,
            "run": 1,
            "agent": "agent-2",
            "why": "the caller left",
            "heard_ms_ago": 210,
        }
        ended = ENDED | {
            "owner": "0a",
            "owner_heard_ms_ago": 333,
            "renewed_ms_ago": 95,
            "lease_ends_in_ms": 640,
        }
        stopped = ended | {"message": "run being stopped", "why": "owner silent"}
        again = ended | {
            "message": "run ordered by another entry",
            "new_owner": "0b",
            "is_stale": False,
        }
        late = ended | {"message": "run listed after its lease", "late_ms": 181}
        lost = ended | {"message": "run at work after its end"}
        path = self.write(
            "all.log", PLACED, given_up, ended, stopped, again, late, lost
        )
        _, out, _ = self.run_command(JOB, path)
        for text in (
            "entry-1 gave up run 1 on agent-2 (the caller left), last heard from 210 "
            "ms before",
            "agent-2 began to stop run 1 (owner silent), whose owner entry-1 was last "
            "heard from 333 ms before, with the endpoint's lease renewed 95 ms before, "
            "under which runs end within 640 ms",
            "agent-2 had run 1, whose owner entry-1 was last heard from 333 ms before, "
            "ordered by 0b, which owns it now",
            "listed run 1 as running 181 ms after its lease",
            "listed run 1 as running after it was reported as LOST",
        ):
            self.assertIn(text, out)

    def test_losses_of_agents_and_endpoints_name_the_tasks_of_the_job(self):
        lost = {
            "time": "2026-12-04T10:54:53.900",
            "message": "agent presumed dead",
            "process": "entry-1",
            "agent": "agent-2",
            "runs": 2,
            "heard_ms_ago": 88,
            "tasks": ["other.0.0.0", TASK],
        }
        refusing = {
            "time": "2026-12-04T10:54:53.900",
            "message": "endpoint refuses connections",
            "process": "agent-2",
            "tasks": [TASK],
            "renewed_ms_ago": 95,
            "lease_ends_in_ms": 640,
        }
        again = {
            "time": "2026-12-04T10:54:53.900",
            "message": "job submitted again",
            "process": "entry-1",
            "job": JOB,
            "state": "active",
        }
        path = self.write("all.log", lost, refusing, again)
        _, out, _ = self.run_command(JOB, path)
        self.assertIn("agent presumed dead, agent-2, last heard from 88 ms before", out)
        self.assertIn(f"with 2 runs, among them {TASK}", out)
        self.assertIn("endpoint refuses connections, with the endpoint's lease", out)
        self.assertIn("entry-1: job submitted again (active)", out)

    def test_logs_that_are_missing_and_dropped_lines_are_said(self):
        dropped = {"message": "lines dropped", "count": 7}
        path = self.write("entry.log", PLACED, NOT_COMPLETED, dropped)
        _, out, err = self.run_command(JOB, path)
        self.assertIn("not in the logs: what agent-2 decided", out)
        self.assertIn("not in the logs: 7 lines in entry.log", out)
        self.assertEqual("", err)


if __name__ == "__main__":
    unittest.main()
