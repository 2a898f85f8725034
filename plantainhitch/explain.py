"""Reconstructs the history of one job from the log lines of several processes.

Lines have the format of ``logs.JsonLineFormatter``. Those that name the job or one of
its tasks are sorted by time and rendered as sentences: what was decided, by which
process, and on which estimates.
"""

from dataclasses import dataclass, field
from datetime import datetime, timedelta

from .json_input import decode_json


class RunEvent:
    """Log events that concern one run."""

    PLACED = "run placed"
    NOT_COMPLETED = "run not completed"
    GIVEN_UP = "run given up"
    ENDED_AT_AGENT = "run ended"
    STOPPED_AT_AGENT = "run being stopped"
    ORDERED_AGAIN = "run ordered by another entry"
    LISTED_AFTER_LEASE = "run listed after its lease"
    LISTED_AFTER_END = "run at work after its end"
    UNKNOWN_ENDED = "end of an unknown run"


RUN_EVENTS = frozenset(
    value for name, value in vars(RunEvent).items() if name.isupper()
)
WORK_AHEAD = "work ahead of job"
ENDPOINT_CRASHED = "endpoint crashed"
# Events of an agent or an endpoint that name the tasks of the runs there.
AGENT_EVENTS = frozenset({"agent unlinked", "agent presumed dead", "runs lost"})
ENDPOINT_EVENTS = frozenset({ENDPOINT_CRASHED, "endpoint refuses connections"})
RESUBMISSION_EVENTS = frozenset({"job submitted again", "caller left"})
LINES_DROPPED = "lines dropped"
JOB_OUTCOMES = frozenset(
    {"job completed", "job not completed", "job refused", "job not supported"}
)
# Fields that identify the writer of a line; all others describe the event.
_ENVELOPE = frozenset({"time", "level", "logger", "message", "process", "incarnation"})


class _Fields(dict):
    """The fields of a line; a field that is missing reads as "?"."""

    def __missing__(self, key):
        return "?"


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line.

    ``time`` is the ISO 8601 text of the line; ``source`` is the process, or the name of
    the file if the line doesn't name one; ``fields`` are those of the event, and
    ``incarnation`` is that of the process, empty if the line doesn't give it.
    """

    time: str
    source: str
    event: str
    fields: dict
    incarnation: str = ""


@dataclass(slots=True)
class Explanation:
    """The lines of a job by time, the sentences made of them, and the gaps.

    ``missing`` has one text for each fact that the lines don't give.
    """

    job: str
    lines: list[LogLine]
    sentences: list[str] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)

    @classmethod
    def from_lines(cls, job, lines):
        """Return the explanation of ``job`` from the lines of all logs."""
        job_lines = sorted(
            (line for line in _expand(lines) if _concerns(line, job)),
            key=lambda line: line.time,
        )
        explanation = cls(job, job_lines)
        if not job_lines:
            explanation.missing.append(f"no line names {job}")
            return explanation
        names = {line.incarnation: line.source for line in lines if line.incarnation}
        explanation.sentences.extend(_outcome_sentences(job_lines))
        explanation.sentences.extend(_resubmission_sentences(job_lines))
        for task in sorted({_task(line) for line in job_lines} - {""}):
            task_lines = [line for line in job_lines if _task(line) == task]
            explanation.sentences.append(_task_sentence(task, task_lines, names))
        explanation.sentences.extend(_loss_sentences(job, job_lines))
        explanation.missing.extend(_find_gaps(job_lines, lines))
        return explanation


def read_lines(path):
    """Return (the ``LogLine`` list of a file, the number of unreadable lines)."""
    lines, unreadable = [], 0
    for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
        try:
            values = decode_json(text, object)
            event = values["message"]
            time = "" if event == LINES_DROPPED else values["time"]
        except (ValueError, KeyError, TypeError):
            unreadable += 1
            continue
        fields = _Fields(
            (key, value) for key, value in values.items() if key not in _ENVELOPE
        )
        source = values.get("process", path.name)
        incarnation = values.get("incarnation", "")
        lines.append(LogLine(time, source, event, fields, incarnation))
    return lines, unreadable


def _expand(lines):
    """Yield the lines, and for one that is a batch each of its rows."""
    for line in lines:
        if "rows" not in line.fields:
            yield line
            continue
        columns = line.fields["columns"]
        for row in line.fields["rows"]:
            fields = _Fields(zip(columns, row, strict=True))
            age = timedelta(milliseconds=fields.pop("ms_ago"))
            time = datetime.fromisoformat(line.time) - age
            yield LogLine(
                time.isoformat(timespec="milliseconds"),
                line.source,
                line.event,
                fields,
                line.incarnation,
            )


def _names_job(fields, job):
    return fields.get("job") == job or fields.get("task", "").startswith(f"{job}.")


def _concerns(line, job):
    return _names_job(line.fields, job) or bool(_tasks_at(job, line))


def _tasks_at(job, line):
    """Return the job's tasks that an agent or an endpoint had in an event of it."""
    if line.event not in AGENT_EVENTS | ENDPOINT_EVENTS:
        return []
    tasks = line.fields.get("tasks", ())
    return [task for task in tasks if task.startswith(f"{job}.")]


def _task(line):
    return line.fields.get("task", "")


def _ahead_clause(line):
    ahead = ", ".join(
        f"{queue} ({ahead_ms} ms of the whole fleet)"
        for queue, ahead_ms in sorted(line.fields["ahead"].items())
    )
    return f"with {line.fields['wait_ms']} ms of work ahead; what waited was {ahead}"


def _outcome_sentences(lines):
    for line in lines:
        if line.event == WORK_AHEAD and line.fields.get("ahead"):
            yield f"{line.time} {line.source}: refused {_ahead_clause(line)}"
        if line.event not in JOB_OUTCOMES:
            continue
        reason = line.fields.get("outcome") or line.fields.get("why", "")
        clauses = [f"{line.time} {line.source}: {line.event} ({reason})"]
        if "zones" in line.fields:
            clauses.append(f"evacuated: {', '.join(line.fields['zones'])}")
        if "took_ms" in line.fields:
            clauses.append(f"after {line.fields['took_ms']} ms")
        if "objective_ms" in line.fields:
            clauses.append(f"with an objective of {line.fields['objective_ms']} ms")
        if line.fields.get("ahead"):
            clauses.append(_ahead_clause(line))
        if "waiting_jobs" in line.fields:
            clauses.append(
                f"with {line.fields['waiting_jobs']} other jobs at the entry"
            )
        yield ", ".join(clauses)


def _resubmission_sentences(lines):
    for line in lines:
        if line.event in RESUBMISSION_EVENTS:
            values = line.fields
            detail = values.get("state") or f"{values['callers']} others wait"
            yield f"{line.time} {line.source}: {line.event} ({detail})"


def _owner_clause(values, names):
    """Return who owned a run at an agent, and when the agent last heard of it."""
    owner = values["owner"]
    return (
        f"whose owner {names.get(owner, owner)} was last heard from "
        f"{values['owner_heard_ms_ago']} ms before"
    )


def _lease_clause(values):
    return (
        f"with the endpoint's lease renewed {values['renewed_ms_ago']} ms before, "
        f"under which runs end within {values['lease_ends_in_ms']} ms"
    )


def _task_sentence(task, lines, names):
    clauses = []
    for line in lines:
        values = line.fields
        match line.event:
            case RunEvent.PLACED:
                clauses.append(
                    f"{_time_of_day(line)} {line.source} placed run {values['run']} on "
                    f"{values['agent']}, last heard from {values['heard_ms_ago']} ms "
                    f"before, with an expected wait of {values['expected_wait_ms']} ms "
                    f"and an expected run time of {values['expected_run_ms']} ms, "
                    f"{values['due_in_ms']} ms before the job was due"
                )
            case RunEvent.NOT_COMPLETED:
                clauses.append(
                    f"{_time_of_day(line)} {line.source} was told that run "
                    f"{values['run']} on {values['agent']} ended as {values['end']} "
                    f"({_reason(values)}) after {values['run_ms']} ms, with "
                    f"{values['failures']} earlier failures and {values['lost_runs']} "
                    "lost runs"
                )
            case RunEvent.GIVEN_UP:
                clauses.append(
                    f"{_time_of_day(line)} {line.source} gave up run {values['run']} "
                    f"on {values['agent']} ({_reason(values)}), last heard from "
                    f"{values['heard_ms_ago']} ms before"
                )
            case RunEvent.ENDED_AT_AGENT:
                clause = (
                    f"{_time_of_day(line)} {line.source} ended run {values['run']} as "
                    f"{values['end']} ({_reason(values)}) at {values['percent']}% "
                    f"progress, with {values['free_millis']} thousandths of a core free"
                )
                if "owner" in values:
                    clause += f", {_owner_clause(values, names)}"
                    clause += f", {_lease_clause(values)}"
                clauses.append(clause)
            case RunEvent.STOPPED_AT_AGENT:
                clauses.append(
                    f"{_time_of_day(line)} {line.source} began to stop run "
                    f"{values['run']} ({_reason(values)}), "
                    f"{_owner_clause(values, names)}, {_lease_clause(values)}"
                )
            case RunEvent.ORDERED_AGAIN:
                new_owner = names.get(values["new_owner"], values["new_owner"])
                effect = "a stale order" if values["is_stale"] else "which owns it now"
                clauses.append(
                    f"{_time_of_day(line)} {line.source} had run {values['run']}, "
                    f"{_owner_clause(values, names)}, ordered by {new_owner}, {effect}"
                )
            case RunEvent.LISTED_AFTER_LEASE:
                clauses.append(
                    f"{_time_of_day(line)} {line.source}: the endpoint listed run "
                    f"{values['run']} as running {values['late_ms']} ms after its lease"
                )
            case RunEvent.LISTED_AFTER_END:
                clauses.append(
                    f"{_time_of_day(line)} {line.source}: the endpoint listed run "
                    f"{values['run']} as running after it was reported as "
                    f"{values['end']} ({_reason(values)})"
                )
            case RunEvent.UNKNOWN_ENDED:
                clauses.append(
                    f"{_time_of_day(line)} {line.source}: the endpoint listed the end "
                    f"of run {values['run']} as {values['end']}, which the agent "
                    "doesn't know or has reported as ended"
                )
            case _:
                clauses.append(f"{_time_of_day(line)} {line.source}: {line.event}")
    return f"{task}: " + "; ".join(clauses)


def _loss_sentences(job, lines):
    for line in lines:
        tasks, values = _tasks_at(job, line), line.fields
        if not tasks:
            continue
        if line.event in AGENT_EVENTS:
            yield (
                f"{_time_of_day(line)} {line.source}: {line.event}, {values['agent']}, "
                f"last heard from {values['heard_ms_ago']} ms before, with "
                f"{values['runs']} runs, among them {', '.join(tasks)}"
            )
        elif line.event != ENDPOINT_CRASHED:
            yield (
                f"{_time_of_day(line)} {line.source}: {line.event}, "
                f"{_lease_clause(values)}; runs there were {', '.join(tasks)}"
            )
        else:
            yield (
                f"{_time_of_day(line)} {line.source}: the endpoint crashed "
                f"({_reason(line.fields)}) with {line.fields['runs']} runs, "
                f"among them {', '.join(tasks)}"
            )


def _time_of_day(line):
    return line.time.rpartition("T")[2]


def _reason(values):
    return values.get("why") or "no reason given"


def _find_gaps(job_lines, lines):
    """Yield the facts that the lines don't give."""
    outcomes = [line for line in job_lines if line.event in JOB_OUTCOMES]
    if not outcomes:
        yield "how the job ended: its entry's log is missing or stops before that"
    placed = _runs(job_lines, RunEvent.PLACED)
    ended = _runs(job_lines, RunEvent.NOT_COMPLETED) | _runs(
        job_lines, RunEvent.ENDED_AT_AGENT
    )
    for task, run in sorted(ended - placed):
        yield f"which entry placed run {run} of {task}"
    sources = {line.source for line in lines}
    agents = {
        line.fields["agent"] for line in job_lines if line.event == RunEvent.PLACED
    }
    for agent in sorted(agents - sources):
        yield f"what {agent} decided: none of its lines is here"
    # A run that ends as done is not logged.
    if not any(line.event == "job completed" for line in outcomes):
        for task, run in sorted(placed - ended):
            yield f"how run {run} of {task} ended, unless it was done"
    left_out = {}
    for line in lines:
        count = line.fields.get("left_out", 0)
        left_out[line.event] = left_out.get(line.event, 0) + count
        if line.event == LINES_DROPPED:
            yield (
                f"{line.fields['count']} lines in {line.source}, of any events, "
                "whose reader was too slow"
            )
    for event, count in sorted(left_out.items()):
        if count and event in RUN_EVENTS | JOB_OUTCOMES:
            yield (
                f"{count} lines '{event}', of this or other jobs, "
                "which the rate limit of the log left out"
            )


def _runs(lines, event):
    return {(_task(line), line.fields["run"]) for line in lines if line.event == event}
