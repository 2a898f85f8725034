"""``plantainhitch submit``: run a job from a file of JSON lines."""

import asyncio
import sys
from pathlib import Path

from fire.decorators import SetParseFns

from ..clock import Clock
from .client import EntryClient, entry_addresses
from .exit_codes import ExitCode
from .jobs import JobRunner, encode_job, read_bodies
from .output import print_error, write_atomically
from .usage import check_number


@SetParseFns(class_name=str, file=str, entry=str, output=str, submission=str)
def submit(
    class_name="",
    file="",
    entry="",
    output="",
    json=False,
    declared_ms=0,
    timeout_s=600,
    submission="",
):
    """Submit a job, wait for its answer and write the answer.

    Exit codes: 0 complete, 1 failed or not run, 2 usage, 3 unknown.

    Args:
        class_name: the class of the job; also written --class.
        file: JSON lines, one task body per line; "-" reads standard input.
        entry: IP:PORT of an entry, or several with commas between.
        output: file for the answers; standard output if empty.
        json: write the whole answer document instead of one answer per line.
        declared_ms: the expected run time of a task, 0 if unknown.
        timeout_s: the longest time to wait for the answer.
        submission: an id that was opened before, to submit the same job again.
    """
    if not class_name or not file:
        print_error("usage: submit --class NAME --file JOBS.jsonl --entry IP:PORT")
        return ExitCode.USAGE
    declared_ms = check_number("declared_ms", declared_ms)
    timeout_s = check_number("timeout_s", timeout_s, kind=float)
    try:
        addresses = entry_addresses(entry)
        bodies, bad_lines = read_bodies(_read_file(file))
    except (OSError, ValueError) as error:
        print_error(error)
        return ExitCode.USAGE
    if bad_lines:
        for line in bad_lines:
            print_error(f"{file}: {line}")
        return ExitCode.USAGE
    body = encode_job(class_name, bodies, declared_ms)
    result = asyncio.run(_run(addresses, body, timeout_s * 1_000, submission))
    return _write_result(result, output, json)


async def _run(addresses, body, timeout_ms, submission):
    async with EntryClient(addresses) as client:
        runner = JobRunner(client, Clock(), timeout_ms)
        return await runner.run(body, submission)


def _read_file(file):
    return sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()


def _write_result(result, output, as_json):
    """Write the result and return the exit code.

    Only a complete answer is written as lines. A failed one is written as a whole
    document, with its state, or not at all.
    """
    if result.detail:
        print_error(f"{result.submission or 'no id'}: {result.detail}")
    if result.answer is None:
        return result.code
    if as_json:
        _write_output(output, result.raw + b"\n")
    elif result.code is ExitCode.OK:
        lines = [bytes(task.body) + b"\n" for task in result.answer.tasks]
        _write_output(output, b"".join(lines))
    else:
        _print_failures(result.answer)
    return result.code


def _write_output(output, data):
    if output:
        write_atomically(output, data)
    else:
        sys.stdout.buffer.write(data)
        sys.stdout.buffer.flush()


def _print_failures(answer):
    for task in answer.tasks:
        if task.outcome != "succeeded":
            detail = f" ({task.detail})" if task.detail else ""
            print_error(f"task {task.index}: {task.outcome}, {task.reason}{detail}")
