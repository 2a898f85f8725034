"""Events that tasks of an entry post to the task that owns its state."""

import asyncio
import enum
from dataclasses import dataclass

from ..protocol.calls import Call
from ..protocol.messages import Hello, Message
from ..state.classes import ClassDocument
from ..transport.links import Link


@dataclass(slots=True)
class CallReceived:
    """A caller's call on an id of this incarnation.

    ``reply`` gets the answer as it stands, at once; ``ended``, where given and
    the submission is still running, the answer at its end.
    """

    call: Call
    reply: asyncio.Future
    final_reply: asyncio.Future | None = None


@dataclass(slots=True)
class AgentLinked:
    """A link to an agent is up and both sides have said hello."""

    hello: Hello
    rack: str
    link: Link


@dataclass(slots=True)
class AgentMessageReceived:
    """A message came from an agent."""

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
    """A newer version of the class document is in force here."""

    document: ClassDocument


@dataclass(slots=True)
class MembersChanged:
    """Membership or operators' drains have changed."""


@dataclass(slots=True)
class IntakeChanged:
    """The entry takes more or fewer kinds of calls (``entry_core.IntakeMode``)."""

    intake: enum.Enum


@dataclass(slots=True)
class Tick:
    """Time has passed."""


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
    | Tick
)
