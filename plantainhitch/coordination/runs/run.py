"""One run of a task at an agent, and the orders that it leads to."""

import enum
from dataclasses import dataclass

from ...protocol import messages as m
from ...state.jobs import RunKey


class Phase(enum.Enum):
    """Where a run stands; ``DOUBTFUL`` ones may or may not be at the endpoint."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    DOUBTFUL = "doubtful"
    STOPPING = "stopping"


@dataclass(slots=True)
class Run:
    """A run of an owner.

    ``stopped_clock_ms`` is the endpoint's time of its stop, ``progressed_ms`` is when
    ``percent`` was last seen to rise. ``is_listed`` says that the endpoint's present
    lifetime has named the run as at work.
    """

    owner: bytes
    start: m.RunStart
    waits_until_ms: int
    due_ms: int = 0
    phase: Phase = Phase.WAITING
    started_ms: int = 0
    stop_sent_ms: int = 0
    stopped_clock_ms: int | None = None
    reason: str = ""
    percent: float = 0.0
    progressed_ms: int = 0
    is_listed: bool = False


@dataclass(frozen=True, slots=True)
class StartOrder:
    """To do: order the start of a run."""

    start: m.RunStart


@dataclass(frozen=True, slots=True)
class StopOrder:
    """To do: order the stop of a run."""

    key: RunKey


def is_there(run):
    """Return whether a run is, or may be, at the endpoint."""
    return run.phase is not Phase.WAITING
