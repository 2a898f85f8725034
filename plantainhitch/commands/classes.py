"""``plantainhitch classes``: show, change and list versions of the classes."""

import getpass
import uuid

import msgspec
from fire.decorators import SetParseFns
from returns.result import Failure

from ..clock import Clock
from ..protocol.models import ApplyModel, ClassesModel, HistoryModel
from ..state import class_files
from . import operator
from .backoff import Backoff
from .class_changes import class_tables, describe_changes, format_toml
from .client import Answered, NoReply, Refused
from .exit_codes import ExitCode
from .output import format_table, print_error, print_json
from .usage import check_number

APPLY_TIMEOUT_MS = 30_000
# The state before the first version.
EMPTY_VERSION = ClassesModel(0, "", "", {}, {})

_CLASSES = msgspec.json.Decoder(ClassesModel)
_HISTORY = msgspec.json.Decoder(HistoryModel)


class Classes:
    """Show and change the classes of work and their targets."""

    def show(self, entry="", json=False):
        """Show the classes in force in the format of a class file."""

        async def action(client):
            return operator.print_reply(await client.get("/v1/classes"), json, _show)

        return operator.run(entry, action)

    def history(self, entry="", limit=20, json=False):
        """Show the newest versions with their authors and changes."""

        path = f"/v1/classes/history?limit={check_number('limit', limit, minimum=1)}"

        async def action(client):
            return operator.print_reply(await client.get(path), json, _show_history)

        return operator.run(entry, action)

    @SetParseFns(file=str, entry=str, author=str)
    def apply(self, file, entry="", base=None, author="", json=False):
        """Apply a class file as the new version of the classes.

        Exit codes: 0 applied, 1 refused or conflict, 2 invalid file, 3 unknown.

        Args:
            file: the class file.
            entry: IP:PORT of an entry.
            base: the version that the file is based on; the newest if not given.
            author: who makes the change; the system's user name if empty.
            json: print the accepted version as JSON.
        """
        if base is not None:
            base = check_number("base", base)
        parsed = class_files.read(file)
        if isinstance(parsed, Failure):
            for problem in parsed.failure():
                print_error(problem)
            return ExitCode.USAGE
        classes, teams = class_tables(parsed.unwrap())
        author = author or getpass.getuser()

        async def action(client):
            return await _apply(client, classes, teams, author, base, json)

        return operator.run(entry, action)


async def _apply(client, classes, teams, author, base, as_json):
    current = await _get_current(client)
    if not isinstance(current, ClassesModel):
        return operator.print_failure(current)
    change = ApplyModel(
        base_version=current.version if base is None else base,
        change_id=uuid.uuid4().hex,
        author=author,
        classes=classes,
        teams=teams,
    )
    reply = await _put_until_settled(client, change)
    match reply:
        case Answered(body=body):
            return _show_applied(current, body, as_json)
        case Refused(code="version_conflict"):
            print_error(reply)
            await _print_newer_versions(client, change.base_version)
            return ExitCode.FAILED
    return operator.print_failure(reply)


async def _get_current(client):
    """Return the version in force, ``EMPTY_VERSION`` if there is none yet.

    Returns the reply instead if it is a failure.
    """
    reply = await client.get("/v1/classes")
    match reply:
        case Answered(body=body):
            return _CLASSES.decode(body)
        case Refused(code="no_configuration"):
            return EMPTY_VERSION
    return reply


async def _put_until_settled(client, change):
    """Send a change until a reply settles it, or until ``APPLY_TIMEOUT_MS``.

    The change id makes the change idempotent. ``sent`` of a returned ``NoReply`` says
    whether any attempt may have been applied.
    """
    clock = Clock()
    backoff = Backoff(clock, clock.now_ms() + APPLY_TIMEOUT_MS)
    body = msgspec.json.encode(change)
    may_be_applied = False
    while True:
        reply = await client.call("PUT", "/v1/classes", body)
        match reply:
            case Answered():
                return reply
            case Refused(code="store_down") if not may_be_applied:
                pass
            case Refused(code="store_down"):
                reply = NoReply(str(reply), sent=True)
            case Refused():
                return reply
            case NoReply(sent=sent):
                may_be_applied = may_be_applied or sent
                reply = NoReply(reply.detail, may_be_applied)
        if not await backoff.wait():
            return reply


def _show_applied(current, body, as_json):
    if as_json:
        print_json(body)
        return ExitCode.OK
    accepted = _CLASSES.decode(body)
    print(f"version {accepted.version} is accepted")
    for line in describe_changes(current, accepted):
        print(f"  {line}")
    return ExitCode.OK


async def _print_newer_versions(client, base_version):
    """Print the authors and changes of the versions after ``base_version``."""
    reply = await client.get("/v1/classes/history?limit=100")
    if not isinstance(reply, Answered):
        return
    versions = sorted(_HISTORY.decode(reply.body).versions, key=_by_version)
    older = [item for item in versions if item.version <= base_version]
    before = older[-1] if older else EMPTY_VERSION
    for item in versions:
        if item.version <= base_version:
            continue
        print_error(f"version {item.version} by {item.author}:")
        for line in describe_changes(before, item):
            print_error(f"  {line}")
        before = item


def _by_version(item):
    return item.version


def _show(body):
    model = _CLASSES.decode(body)
    head = f"# version {model.version}, by {model.author}"
    return f"{head}\n{format_toml(model)}"


def _show_history(body):
    versions = sorted(_HISTORY.decode(body).versions, key=_by_version)
    rows = []
    before = None
    for item in versions:
        changes = describe_changes(before, item) if before else ["first shown"]
        rows.append((item.version, item.author, "; ".join(changes) or "no change"))
        before = item
    return format_table(("version", "author", "changes"), rows[::-1])
