"""What became of one job, from the log lines of several processes.

Lines are as ``logs.JsonLineFormatter`` writes them. Those that name the job or one of
its tasks are put in order of time, and told as what was decided, by whom, and on
which belief.
"""

from dataclasses import dataclass, field

import msgspec


class Event:
    """The events that are about one run."""

    PLACED = "run placed"
    NOT_COMPLETED = "run not completed"
    ENDED_AT_AGENT = "run ended"


ABOUT_RUNS = frozenset({Event.PLACED, Event.NOT_COMPLETED, Event.ENDED_AT_AGENT})
OUTCOMES = frozenset(
    {"job completed", "job not completed", "job refused", "job not supported"}
)
# Fields that say who wrote a line and how, not what happened.
_ENVELOPE = frozenset({"time", "level", "logger", "message", "process", "incarnation"})


class _Fields(dict):
    """The fields of a line; one that a line lacks is told as a question mark."""

    def __missing__(self, key):
        return "?"


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line: ``source`` is the process, or the file where it doesn't say."""

    time: str
    source: str
    event: str
    fields: dict


@dataclass(slots=True)
class Explanation:
    """The lines of a job in order, what they say, and what they leave open."""

    job: str
    lines: list[LogLine]
    sentences: list[str] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)

    @classmethod
    def from_lines(cls, job, lines):
        """Explain a job from all lines at hand."""
        own = sorted(
            (line for line in lines if _concerns(line, job)), key=lambda line: line.time
        )
        explanation = cls(job, own)
        if not own:
            explanation.missing.append(f"no line names {job}")
            return explanation
        explanation.sentences.extend(_outcome_sentences(own))
        for task in sorted({_task(line) for line in own} - {""}):
            runs = [line for line in own if _task(line) == task]
            explanation.sentences.append(_task_sentence(task, runs))
        explanation.missing.extend(_missing(own, lines))
        return explanation


def read_lines(path):
    """Return the ``LogLine`` list of a file, and how many lines could not be read."""
    lines, unreadable = [], 0
    for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
        try:
            values = msgspec.json.decode(text)
            time, event = values["time"], values["message"]
        except (msgspec.DecodeError, KeyError, TypeError):
            unreadable += 1
            continue
        fields = _Fields(
            (key, value) for key, value in values.items() if key not in _ENVELOPE
        )
        lines.append(LogLine(time, values.get("process", path.name), event, fields))
    return lines, unreadable


def _concerns(line, job):
    return line.fields.get("job") == job or _task(line).startswith(f"{job}.")


def _task(line):
    return line.fields.get("task", "")


def _outcome_sentences(lines):
    for line in lines:
        if line.event not in OUTCOMES:
            continue
        said = line.fields.get("outcome") or line.fields.get("why", "")
        words = [f"{line.time} {line.source}: {line.event} ({said})"]
        if "took_ms" in line.fields:
            words.append(f"after {line.fields['took_ms']} ms")
        if "objective_ms" in line.fields:
            words.append(f"with an objective of {line.fields['objective_ms']} ms")
        if "waiting_jobs" in line.fields:
            words.append(f"while {line.fields['waiting_jobs']} other jobs were there")
        yield ", ".join(words)


def _task_sentence(task, lines):
    told = []
    for line in lines:
        values = line.fields
        match line.event:
            case Event.PLACED:
                told.append(
                    f"{_clock(line)} {line.source} placed run {values['run']} at "
                    f"{values['agent']}, last heard {values['heard_ms_ago']} ms "
                    f"before, expecting {values['expected_wait_ms']} ms of waiting and "
                    f"{values['expected_run_ms']} ms of work, "
                    f"{values['due_in_ms']} ms before it was due"
                )
            case Event.NOT_COMPLETED:
                told.append(
                    f"{_clock(line)} {line.source} learnt that run {values['run']} at "
                    f"{values['agent']} ended {values['end']} ({_why(values)}) after "
                    f"{values['run_ms']} ms, {values['failures']} failures before"
                )
            case Event.ENDED_AT_AGENT:
                told.append(
                    f"{_clock(line)} {line.source} saw run {values['run']} end "
                    f"{values['end']} ({_why(values)}) at {values['percent']}%, with "
                    f"{values['free_millis']} thousandths of a core free"
                )
            case _:
                told.append(f"{_clock(line)} {line.source}: {line.event}")
    return f"{task}: " + "; ".join(told)


def _clock(line):
    return line.time.rpartition("T")[2]


def _why(values):
    return values.get("why") or "no reason given"


def _missing(own, lines):
    """Yield what the lines at hand don't tell."""
    outcomes = [line for line in own if line.event in OUTCOMES]
    if not outcomes:
        yield "how the job ended: its entry's log is missing, or ends before"
    placed = _runs(own, Event.PLACED)
    returned = _runs(own, Event.NOT_COMPLETED) | _runs(own, Event.ENDED_AT_AGENT)
    for task, run in sorted(returned - placed):
        yield f"who placed run {run} of {task}"
    if not any(line.event == "job completed" for line in outcomes):
        for task, run in sorted(placed - returned):
            yield f"how run {run} of {task} ended, unless it was done"
    left_out = {}
    for line in lines:
        count = line.fields.get("left_out", 0)
        left_out[line.event] = left_out.get(line.event, 0) + count
    for event, count in sorted(left_out.items()):
        if count and event in ABOUT_RUNS | OUTCOMES:
            yield f"{count} lines '{event}' of some jobs, left out to bound the logs"


def _runs(lines, event):
    return {(_task(line), line.fields["run"]) for line in lines if line.event == event}
