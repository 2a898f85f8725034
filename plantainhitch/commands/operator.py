"""Helpers of the operators' commands: make one call and print its reply."""

import asyncio

from .client import Answered, EntryClient, NoReply, Refused, entry_addresses
from .exit_codes import ExitCode
from .output import print_error, print_json


def run(entry, action):
    """Run ``await action(client)`` with a client of ``entry``; return its exit code."""
    try:
        addresses = entry_addresses(entry)
    except ValueError as error:
        print_error(error)
        return ExitCode.USAGE
    return asyncio.run(_run(addresses, action))


async def _run(addresses, action):
    async with EntryClient(addresses) as client:
        return await action(client)


def print_reply(reply, as_json, show):
    """Print a reply, as JSON or as ``show(body)``; return the exit code."""
    match reply:
        case Answered(body=body) if as_json:
            print_json(body)
            return ExitCode.OK
        case Answered(body=body):
            print(show(body))
            return ExitCode.OK
    return print_failure(reply)


def print_failure(reply):
    """Print a refusal or a failure to get a reply; return the exit code."""
    print_error(reply)
    match reply:
        case NoReply(sent=sent):
            return ExitCode.UNKNOWN if sent else ExitCode.FAILED
        case Refused(error=error):
            return ExitCode.UNKNOWN if error.code == "internal" else ExitCode.FAILED
    raise TypeError(f"not a failed reply: {reply!r}")
