"""``plantainhitch check``: validate a settings, class or configuration file."""

import tomllib
from pathlib import Path

from fire.decorators import SetParseFns
from returns.result import Success

from ..platform import configuration_check
from ..settings import Settings
from ..state import class_files
from .exit_codes import ExitCode
from .output import print_error, print_json

_BYTE_ORDER_MARK_AND_SPACE = b"\xef\xbb\xbf \t\r\n"


@SetParseFns(file=str, in_force=str)
def check(file, json=False, in_force=""):
    """Validate a file and print every error in it.

    A JSON object is the operator's configuration for the users' platform. Any other
    file is TOML: a class file if it has a table [classes] or [teams], or else a
    settings file. The exit code is 2 if a file can't be read or a TOML file has an
    error, and 1 if a configuration has one.

    Args:
        file: the file to validate.
        json: print the errors, and the differences if any, as JSON.
        in_force: the file of the configuration in force; what differs is printed, and
            a version that isn't higher is an error.
    """
    if in_force or _is_json_object(file):
        return _check_configuration(file, in_force, json)
    read = class_files.read if _is_class_file(file) else Settings.read
    result = read(file)
    problems = () if isinstance(result, Success) else result.failure()
    if json:
        print_json({"file": file, "errors": problems})
    for problem in problems:
        print_error(problem)
    if problems:
        return ExitCode.USAGE
    if not json:
        print(f"{file}: no errors")
    return ExitCode.OK


def _check_configuration(file, in_force, json):
    checked = _read_configuration(file)
    base = _read_configuration(in_force) if in_force else None
    if checked is None or (in_force and base is None):
        return ExitCode.USAGE
    if base is not None and base.model is None:
        for problem in base.problems:
            print_error(f"{in_force}: {problem}")
        return ExitCode.USAGE
    problems, differences = list(checked.problems), []
    if base is not None and checked.model is not None:
        differences = configuration_check.find_differences(base.model, checked.model)
        problem = configuration_check.find_version_problem(checked.model, base.model)
        if problem is not None:
            problems.append(problem)
    if json:
        print_json({"file": file, "errors": problems, "differences": differences})
    else:
        for difference in differences:
            print(difference)
    for problem in problems:
        print_error(f"{file}: {problem}")
    if problems:
        return ExitCode.FAILED
    if not json:
        print(f"{file}: no errors")
    return ExitCode.OK


def _read_configuration(path):
    """Return the ``CheckedConfiguration`` of a file; None, with a message, without."""
    try:
        result = configuration_check.check(Path(path).read_bytes())
    except OSError as error:
        print_error(f"{path}: can't be read: {error}")
        return None
    if isinstance(result, Success):
        return result.unwrap()
    print_error(f"{path}: not a configuration: {result.failure()}")
    return None


def _is_json_object(path):
    """Return whether a file begins like a JSON object, which no TOML file does."""
    try:
        start = Path(path).read_bytes().lstrip(_BYTE_ORDER_MARK_AND_SPACE)[:1]
    except OSError:
        return False
    return start == b"{"


def _is_class_file(path):
    try:
        tables = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return False
    return "classes" in tables or "teams" in tables
