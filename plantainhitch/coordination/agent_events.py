"""Events that an agent's tasks post to the task that owns its ``AgentCore``."""

from dataclasses import dataclass

from ..outcomes import Outcome
from ..protocol.messages import Envelope, Hello, TaskKey
from ..transport.addresses import Address
from ..transport.links import Link


@dataclass(frozen=True, slots=True)
class EndpointInfo:
    """An endpoint as described by its own announcement."""

    name: str
    address: Address
    slots: int
    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@dataclass(slots=True)
class LinkOpened:
    """An entry has opened a link and both sides have sent their hello."""

    number: int
    link: Link
    hello: Hello


@dataclass(slots=True)
class FrameReceived:
    """A frame was received on a link."""

    number: int
    envelope: Envelope


@dataclass(slots=True)
class LinkEnded:
    """A link was closed or lost."""

    number: int


@dataclass(slots=True)
class TaskEnded:
    """The request that ran an attempt at the endpoint has ended."""

    key: TaskKey
    outcome: Outcome


@dataclass(slots=True)
class EndpointAnnounced:
    """The endpoint has sent an announcement."""

    endpoint: EndpointInfo


@dataclass(slots=True)
class EndpointLeaving:
    """The endpoint has announced that it is leaving."""


@dataclass(slots=True)
class BusySlotsPolled:
    """A poll of the endpoint for its busy slots has ended.

    ``busy`` is None if the endpoint did not answer; ``running`` is the number of
    the agent's running attempts when the poll was sent.
    """

    busy: int | None
    running: int


@dataclass(slots=True)
class DrainOrdered:
    """An operator's drain order for the endpoint, as read from the platform's table."""

    draining: bool


@dataclass(slots=True)
class StopRequested:
    """The process will end once all running attempts have been reported."""


@dataclass(slots=True)
class StartsPaused:
    """Starts are paused until membership has been read again, or are resumed."""

    paused: bool


@dataclass(slots=True)
class TimerTicked:
    """The timer has ticked: work that has become due is done."""


Event = (
    LinkOpened
    | FrameReceived
    | LinkEnded
    | TaskEnded
    | EndpointAnnounced
    | EndpointLeaving
    | BusySlotsPolled
    | DrainOrdered
    | StopRequested
    | StartsPaused
    | TimerTicked
)
