"""The command line: names each command and the module that holds it.

Modules are imported when their command runs, so an agent doesn't load what only
an entry uses.
"""

import importlib
import re
import sys

from ..settings import SettingsError
from .exit_codes import ExitCode
from .usage import UsageError

# Command name -> (module, function) below this package.
COMMANDS = {
    "agent": ("agent", "agent"),
    "cancel": ("cancel", "cancel"),
    "check": ("check", "check"),
    "classes": ("classes", "Classes"),
    "demo": ("demo", "demo"),
    "deployed-agent": ("deployed", "deployed_agent"),
    "deployed-entry": ("deployed", "deployed_entry"),
    "endpoints": ("endpoints", "Endpoints"),
    "entry": ("entry", "entry"),
    "load": ("load", "load"),
    "standin": ("standin", "StandIn"),
    "status": ("status", "status"),
    "submit": ("submit", "submit"),
}
# Commands without arguments, which have to stay small.
DEPLOYED = frozenset({"deployed-agent", "deployed-entry"})
# ``class`` can't be the name of a function's argument.
OPTION_NAMES = {"--class": "--class_name"}
ID_OPTION = "--submission"
ID_PATTERN = re.compile(r"[\w-]{54}", re.ASCII)


def _load(name):
    module_name, attribute = COMMANDS[name]
    module = importlib.import_module(f".{module_name}", __package__)
    return getattr(module, attribute)


def main(arguments=None):
    """Run the command named first in ``arguments``; return the exit code."""
    words = sys.argv[1:] if arguments is None else list(arguments)
    if not words or words[0] not in COMMANDS:
        names = ", ".join(sorted(COMMANDS))
        print(f"usage: plantainhitch COMMAND ...; commands: {names}", file=sys.stderr)
        return ExitCode.USAGE
    name = words[0]
    if name in DEPLOYED:
        return _run_deployed(name, words[1:])
    import fire  # not above: a deployed process goes without its 4 MB

    words = _join_ids([_option(word) for word in words])
    try:
        result = fire.Fire(
            {name: _load(name)}, command=words, name="plantainhitch", serialize=_silent
        )
    except (SettingsError, UsageError) as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE
    return result if isinstance(result, int) else 0


def _run_deployed(name, words):
    if words:
        print(f"{name} takes no arguments: {' '.join(words)}", file=sys.stderr)
        return ExitCode.USAGE
    try:
        return _load(name)()
    except SettingsError as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE


def _option(word):
    name, separator, value = word.partition("=")
    return OPTION_NAMES.get(name, name) + separator + value


def _join_ids(words):
    """Write submission ids as options: one may begin with a hyphen itself."""
    joined = []
    for word in words:
        if not ID_PATTERN.fullmatch(word):
            joined.append(word)
            continue
        if joined and joined[-1] == ID_OPTION:
            joined.pop()
        joined.append(f"{ID_OPTION}={word}")
    return joined


def _silent(result):
    """Print nothing of a command's exit code."""
    return None if isinstance(result, int) else result
