"""Events that tasks of an agent post to the task that owns its state."""

from dataclasses import dataclass

from ..outcomes import Outcome
from ..protocol.messages import Envelope, Hello, TaskKey
from ..transport.addresses import Address
from ..transport.links import Link


@dataclass(frozen=True, slots=True)
class EndpointInfo:
    """The endpoint as it announces itself."""

    name: str
    address: Address
    slots: int
    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@dataclass(slots=True)
class LinkOpened:
    """An entry has dialled and both sides have said hello."""

    number: int
    link: Link
    hello: Hello


@dataclass(slots=True)
class FrameReceived:
    """A frame came on a link."""

    number: int
    envelope: Envelope


@dataclass(slots=True)
class LinkEnded:
    """A link has ended."""

    number: int


@dataclass(slots=True)
class TaskEnded:
    """The exchange with the endpoint about one attempt is over."""

    key: TaskKey
    outcome: Outcome


@dataclass(slots=True)
class EndpointAnnounced:
    """The endpoint has announced itself."""

    endpoint: EndpointInfo


@dataclass(slots=True)
class EndpointLeaving:
    """The endpoint says that it is leaving."""


@dataclass(slots=True)
class BusySlotsPolled:
    """The endpoint was asked for its busy slots; None where it did not answer.

    ``running`` is how many attempts ran when the question was sent.
    """

    busy: int | None
    running: int


@dataclass(slots=True)
class DrainOrdered:
    """An operator's order, as found in the platform's table."""

    draining: bool


@dataclass(slots=True)
class StopRequested:
    """The process is to end once what runs has been answered."""


@dataclass(slots=True)
class StartsPaused:
    """Nothing new starts until membership has been read again, or again allowed."""

    paused: bool


@dataclass(slots=True)
class Ticked:
    """Time has passed."""


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
    | Ticked
)
