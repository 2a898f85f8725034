"""The state of one run at an agent, and the orders that an agent gives its endpoint."""

import enum
import math
from dataclasses import dataclass

from ...protocol import messages as m
from ...state.jobs import RunKey, job_id_of


class Phase(enum.Enum):
    """The phase of a run; the values are values of a metric label.

    ``UNCONFIRMED`` runs may or may not be at the endpoint: the result of their start
    is not known, or a new lifetime of the endpoint may have carried it out. They have
    been ordered to stop, and end only with a proof that they can't begin any more.
    """

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    UNCONFIRMED = "doubtful"
    STOPPING = "stopping"


@dataclass(slots=True)
class Run:
    """A run of a task, and the incarnation of the entry that owns it.

    ``wait_deadline_ms`` is when a start that still waits for room is refused, and
    ``due_ms`` when its job is due. ``started_ms`` is when the start was ordered, 0
    before. ``stop_accepted_clock_ms`` is the endpoint's clock when it accepted the
    stop, None before. ``last_progress_ms`` is when ``percent`` was last seen to rise.
    ``is_listed`` is true once the present lifetime of the endpoint has listed the run
    as running, and ``is_accepted`` once the endpoint has answered the start: it can't
    be carried out again. ``seen_clock_ms`` is the endpoint's clock in the newest of
    these answers, 0 before the first. ``start_fence`` is the fence that the start was
    sent with.
    ``abandoned_contact_ms`` is the last contact at which the owner may have wanted the
    run, infinite until it gives the run up. All other times are on the agent's clock.
    """

    owner: bytes
    start: m.RunStart
    wait_deadline_ms: int
    due_ms: int = 0
    phase: Phase = Phase.WAITING
    started_ms: int = 0
    stop_sent_ms: int = 0
    stop_accepted_clock_ms: int | None = None
    stop_reason: str = ""
    percent: float = 0.0
    last_progress_ms: int = 0
    is_listed: bool = False
    is_accepted: bool = False
    seen_clock_ms: int = 0
    start_fence: int = 0
    abandoned_contact_ms: float = math.inf
    # The progress and the time up to which ``EndpointPerformance`` has counted it.
    measured_percent: float = 0.0
    measured_ms: int = 0
    # Whether it was ordered in an earlier lifetime of the endpoint, where it may have
    # begun.
    is_of_earlier_lifetime: bool = False

    @property
    def job_id(self):
        """The id of the job that the run's task belongs to."""
        return job_id_of(self.start.key.task)

    @property
    def has_begun(self):
        """Whether the endpoint is known to have begun the run."""
        return self.phase is Phase.RUNNING or self.is_listed

    @property
    def may_begin_later(self):
        """Whether a start that was ordered may not have been carried out yet."""
        is_certain = self.is_accepted or self.is_listed
        return may_be_at_endpoint(self) and not is_certain

    @property
    def ms_per_percent(self):
        """The time in ms in which the run is expected to progress by one percent."""
        expected_ms = self.start.estimate_ms / 100
        if self.percent > 0:
            progressed_ms = self.last_progress_ms - self.started_ms
            expected_ms = max(expected_ms, progressed_ms / self.percent)
        return expected_ms


@dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to the endpoint to start a run."""

    start: m.RunStart


@dataclass(frozen=True, slots=True)
class StopOrder:
    """An order to the endpoint to stop a run."""

    key: RunKey


def may_be_at_endpoint(run):
    """Return whether the start of a run was ordered, so that it takes up room."""
    return run.phase is not Phase.WAITING
