"""The command line: the table of commands and their dispatch.

The module of a command is imported when the command runs, so an agent doesn't load
modules that only an entry uses.
"""

import gc
import importlib
import re
import sys
from typing import NamedTuple

from .. import __version__
from .exit_codes import ExitCode
from .usage import UsageError


class Command(NamedTuple):
    """A command: its module in this package, its attribute there, and a summary."""

    module: str
    attribute: str
    summary: str


COMMANDS = {
    "agent": Command("agent", "agent", "run an agent"),
    "cancel": Command(
        "cancel", "cancel", "cancel the unfinished tasks of a submission"
    ),
    "check": Command(
        "check", "check", "validate a settings, class or configuration file"
    ),
    "classes": Command("classes", "Classes", "show, apply or list versions of classes"),
    "demo": Command("demo", "demo", "run the whole system in one process"),
    "deployed-agent": Command(
        "deployed_agent", "deployed_agent", "run an agent on the users' platform"
    ),
    "deployed-entry": Command(
        "deployed_entry", "deployed_entry", "run an entry on the users' platform"
    ),
    "endpoints": Command("endpoints", "Endpoints", "show, drain or resume endpoints"),
    "entry": Command("entry", "entry", "run an entry"),
    "explain": Command(
        "explain", "explain", "explain a job from the logs of its processes"
    ),
    "load": Command("load", "load", "send open-loop load and compare with the ideal"),
    "standin": Command("standin", "StandIn", "run a stand-in for tests and trials"),
    "status": Command("status", "status", "show the status of an entry"),
    "submit": Command("submit", "submit", "run a job"),
}
HELP_OPTIONS = frozenset({"--help", "-h", "help"})
# Commands that take ``PROFILE_OPTION`` at most. They don't load ``fire``, to keep their
# memory small.
DEPLOYED_COMMANDS = frozenset({"deployed-agent", "deployed-entry"})
PROFILE_OPTION = "--profile"
# ``class`` is a keyword, so it can't be the name of a parameter.
OPTION_NAMES = {"--class": "--class_name"}
SUBMISSION_OPTION = "--submission"
SUBMISSION_ID_PATTERN = re.compile(r"[\w-]{54}", re.ASCII)


def _load_command(name):
    command = COMMANDS[name]
    module = importlib.import_module(f".{command.module}", __package__)
    return getattr(module, command.attribute)


def help_text():
    """Return what ``--help`` prints."""
    width = max(map(len, COMMANDS))
    lines = [f"  {name:{width}}  {item.summary}" for name, item in COMMANDS.items()]
    return "\n".join(
        (
            "usage: plantainhitch COMMAND [ARGUMENTS] [--OPTION VALUE]",
            "",
            "A dispatcher of sub-second tasks for fleets of unequal instances.",
            "",
            "commands:",
            *lines,
            "",
            "plantainhitch COMMAND --help describes a command; --version prints the",
            "version.",
        )
    )


def main(arguments=None):
    """Run the command named first in ``arguments``; return the exit code."""
    words = sys.argv[1:] if arguments is None else list(arguments)
    if words and words[0] in HELP_OPTIONS:
        print(help_text())
        return ExitCode.OK
    if words and words[0] == "--version":
        print(f"plantainhitch {__version__}")
        return ExitCode.OK
    if not words or words[0] not in COMMANDS:
        names = ", ".join(sorted(COMMANDS))
        print(f"usage: plantainhitch COMMAND ...; commands: {names}", file=sys.stderr)
        return ExitCode.USAGE
    name = words[0]
    if name in DEPLOYED_COMMANDS:
        return _run_deployed(name, words[1:])
    # Imported here to save their memory, or time, in deployed processes.
    import fire

    from ..settings import SettingsError

    words = _join_submission_ids([_rename_option(word) for word in words])
    try:
        result = fire.Fire(
            {name: _load_command(name)},
            command=words,
            name="plantainhitch",
            serialize=_omit_exit_code,
        )
    except (SettingsError, UsageError) as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE
    return result if isinstance(result, int) else 0


def _run_deployed(name, words):
    if words not in ([], [PROFILE_OPTION]):
        print(
            f"{name} takes no arguments but {PROFILE_OPTION}: {' '.join(words)}",
            file=sys.stderr,
        )
        return ExitCode.USAGE
    # Modules leave little garbage while they load, so that collections only delay the
    # start. ``deployed.run`` enables them again.
    gc.disable()
    command = _load_command(name)
    from ..settings import SettingsError

    try:
        return command(is_profiled=bool(words))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE


def _rename_option(word):
    name, separator, value = word.partition("=")
    return OPTION_NAMES.get(name, name) + separator + value


def _join_submission_ids(words):
    """Replace each submission id by an option with it.

    An id may begin with a hyphen, and would then be taken for an option itself.
    """
    joined = []
    for word in words:
        if not SUBMISSION_ID_PATTERN.fullmatch(word):
            joined.append(word)
            continue
        if joined and joined[-1] == SUBMISSION_OPTION:
            joined.pop()
        joined.append(f"{SUBMISSION_OPTION}={word}")
    return joined


def _omit_exit_code(result):
    """Return what fire is to print: nothing for an exit code."""
    return None if isinstance(result, int) else result
