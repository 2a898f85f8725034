"""Events that the asyncio tasks of an entry post to the one that owns its state."""

import asyncio
import enum
from dataclasses import dataclass

from ..protocol.calls import Call
from ..protocol.messages import Hello, Message
from ..state.classes import ClassDocument
from ..transport.links import Link


@dataclass(slots=True)
class CallReceived:
    """A call that this incarnation is to answer.

    ``reply`` gets the present answer at once. ``final_reply``, if given, gets the
    final answer when a submission that is still running ends.
    """

    call: Call
    reply: asyncio.Future
    final_reply: asyncio.Future | None = None


@dataclass(slots=True)
class AgentLinked:
    """A link to an agent is open and both sides have sent their hellos."""

    hello: Hello
    rack: str
    link: Link


@dataclass(slots=True)
class AgentMessageReceived:
    """A message from an agent has arrived."""

    incarnation: bytes
    message: Message


@dataclass(slots=True)
class AgentUnlinked:
    """The link to an agent has ended."""

    incarnation: bytes
    link: Link


@dataclass(slots=True)
class AgentConnectionRefused:
    """An agent's address refuses connections."""

    incarnation: bytes


@dataclass(slots=True)
class AgentGone:
    """An agent has left, or another incarnation has taken its address."""

    incarnation: bytes


@dataclass(slots=True)
class ConfigurationApplied:
    """A newer version of the class document has come into force here."""

    document: ClassDocument


@dataclass(slots=True)
class MembersChanged:
    """The members, or the endpoints that operators drain, have changed."""


@dataclass(slots=True)
class IntakeChanged:
    """The entry accepts other kinds of calls now (an ``entry_core.IntakeMode``)."""

    intake: enum.Enum


@dataclass(slots=True)
class TimerTicked:
    """The periodic timer has fired."""


Event = (
    CallReceived
    | AgentLinked
    | AgentMessageReceived
    | AgentUnlinked
    | AgentConnectionRefused
    | AgentGone
    | ConfigurationApplied
    | MembersChanged
    | IntakeChanged
    | TimerTicked
)
