"""``plantainhitch check``: validate a settings file or a class file."""

import tomllib
from pathlib import Path

from fire.decorators import SetParseFns
from returns.result import Success

from ..settings import Settings
from ..state import class_files
from .exit_codes import ExitCode
from .output import print_error, print_json


@SetParseFns(file=str)
def check(file, json=False):
    """Validate a file and print every error in it; exit code 2 if there is one.

    A file with a table [classes] or [teams] is a class file, any other a
    settings file.

    Args:
        file: the TOML file.
        json: print the errors as JSON.
    """
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


def _is_class_file(path):
    try:
        tables = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return False
    return "classes" in tables or "teams" in tables
