"""Heartbeats, inventories and replies of endpoints."""

import enum
import re
from dataclasses import dataclass

from .jobs import Room, RunKey

# Ids that can be sent in a header.
_ID_PATTERN = re.compile(r"[!-~]{1,200}")


def is_endpoint_id(text):
    """Return whether a text can be the id of an endpoint."""
    return _ID_PATTERN.fullmatch(text) is not None


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """One heartbeat of an endpoint.

    ``born_ms`` is the wall-clock time at which the endpoint started; with
    ``endpoint_id`` it identifies one lifetime of the endpoint. ``remaining_ms`` is the
    least time that a draining endpoint still runs. ``clock_ms`` is the endpoint's
    own monotonic clock. ``cold_for_ms`` is how much longer it stays slow after its
    start.
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
    cold_for_ms: int = 0

    @property
    def lifetime(self):
        """The pair (``endpoint_id``, ``born_ms``)."""
        return self.endpoint_id, self.born_ms


class End(enum.Enum):
    """How a run ended; the values are codes on the wire between entries and agents.

    ``LOST`` is the end of a run whose endpoint has ceased to exist, ``NOT_STARTED``
    that of a run that has certainly not started.
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
    """A run in progress at an endpoint; ``percent`` is its progress (0..100)."""

    key: RunKey
    checkpoint: str
    percent: float


@dataclass(frozen=True, slots=True)
class EndedRun:
    """An ended run as listed by its endpoint.

    ``number`` counts the ends within one lifetime of the endpoint.
    """

    number: int
    key: RunKey
    end: End
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Inventory:
    """All runs in progress at an endpoint, and the ends not yet acknowledged.

    With ``has_more_ends`` the later ones of these are left out.
    """

    clock_ms: int
    born_ms: int
    running: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    has_more_ends: bool = False


class Rejection(enum.Enum):
    """Why an order was not carried out; the endpoint has done nothing then.

    ``NOT_LISTENING`` means that the connection was refused, as when the endpoint's
    process has ended; ``UNREACHABLE`` that no connection could be made.
    ``WITHDRAWN`` is the agent's own: the order was not sent, as it was no longer valid.
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
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The order was carried out."""

    clock_ms: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The order was rejected and had no effect.

    ``born_ms`` is the lifetime that rejected it as meant for another, 0 if unknown.
    """

    reason: Rejection
    clock_ms: int = 0
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The order may have been carried out, or may be carried out later."""

    detail: str = ""


OrderResult = Accepted | Rejected | NoAnswer
