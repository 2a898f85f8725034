"""What an endpoint says of itself and of what runs on it."""

import enum
from dataclasses import dataclass

from .jobs import Room, RunKey


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """One heartbeat of an endpoint.

    ``born_ms`` names the lifetime of the endpoint together with its id; it is the
    wall time of its start. ``remaining_ms`` is how long a draining endpoint still
    runs at least. ``clock_ms`` is the endpoint's own steady clock.
    """

    endpoint_id: str
    born_ms: int
    sequence: int
    pool: str
    draining: bool
    capacity: Room
    kind: str = ""
    rack: str = ""
    labels: tuple[str, ...] = ()
    remaining_ms: int | None = None
    clock_ms: int = 0


class End(enum.Enum):
    """How a run ended; the values are the codes between our own processes.

    ``LOST`` is the end of a run whose endpoint is gone, ``NOT_STARTED`` of one that
    has certainly not begun.
    """

    DONE = 1
    FAILED = 2
    STOPPED = 3
    LAPSED = 4
    BROKEN = 5
    ALONE = 6
    LOST = 7
    NOT_STARTED = 8


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run at work at an endpoint; ``percent`` is its progress."""

    key: RunKey
    checkpoint: str
    percent: float


@dataclass(frozen=True, slots=True)
class EndedRun:
    """An end as the endpoint lists it; ``number`` counts ends of its lifetime."""

    number: int
    key: RunKey
    end: End
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Inventory:
    """All that runs at an endpoint, and the ends not yet acknowledged."""

    clock_ms: int
    born_ms: int
    running: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]


class Rejection(enum.Enum):
    """Why an endpoint did not carry out an order; it has done nothing then.

    ``NOT_LISTENING`` means that nothing listens at its address any more;
    ``UNREACHABLE`` only that no connection came about.
    """

    FENCE = "fence"
    STALE_RUN = "old"
    LEASE_EXPIRED = "late"
    NO_ROOM = "room"
    BAD_REQUEST = "bad_request"
    UNHEALTHY = "unhealthy"
    OTHER_LIFETIME = "other_lifetime"
    UNREACHABLE = "unreachable"
    NOT_LISTENING = "gone"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The order was carried out."""

    clock_ms: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The order was refused and had no effect."""

    reason: Rejection
    clock_ms: int = 0


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The order may have been carried out, or may be carried out later."""

    detail: str = ""


OrderResult = Accepted | Rejected | NoAnswer
