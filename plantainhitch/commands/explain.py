"""``plantainhitch explain``: the history of a job, from log files."""

from pathlib import Path

from fire.decorators import SetParseFns

from ..explain import Explanation, read_lines
from .exit_codes import ExitCode
from .output import print_error, print_json
from .usage import UsageError


@SetParseFns(str)
def explain(job, *files, json=False):
    """Explain from logs how a job was placed, how its runs ended, and why.

    Args:
        job: the caller's id of the job.
        files: logs of entries and agents, one file or more.
        json: print the sentences, the log lines and the gaps as JSON.
    """
    if not files:
        raise UsageError("explain: name at least one log file")
    lines = []
    for name in files:
        try:
            found, unreadable = read_lines(Path(str(name)))
        except OSError as error:
            raise UsageError(f"explain: {error}") from error
        if unreadable:
            print_error(f"{name}: skipped {unreadable} lines that are not log lines")
        lines.extend(found)
    explanation = Explanation.from_lines(str(job), lines)
    if json:
        print_json(explanation)
    else:
        for sentence in explanation.sentences:
            print(sentence)
        for gap in explanation.missing:
            print(f"not in the logs: {gap}")
    return ExitCode.OK if explanation.lines else ExitCode.FAILED
