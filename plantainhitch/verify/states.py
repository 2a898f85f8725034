"""State of the model of starts: one job, its owner, one agent and one endpoint.

All values are small integers or tuples of them, so that a state is cheap to hash and
to copy. Sessions number the successive links between the owner and the agent, 0 for
no link; incarnations number the agent's processes.
"""

import enum
from typing import NamedTuple


class Fault(enum.Enum):
    """A protocol error planted in the model, to check that the search finds it."""

    NONE = "none"
    START_AGAIN_AFTER_TIMEOUT = "start again after timeout"
    TAKE_OVER_ON_LAPSED_LEASE = "take over on lapsed lease"
    REFUSAL_FORGOTTEN = "refusal forgotten"
    RESTART_MEANS_NOT_RUN = "restart of the agent means not run"
    LOST_CONNECTION_MEANS_NOT_RUN = "lost connection means not run"
    FORGOTTEN_MEANS_NOT_RUN = "unseen after forgetting means not run"
    LATE_FRAME_ACCEPTED = "late frame accepted"
    RETURNED_START_RUNS = "start given back begins all the same"
    PARTIAL_ANSWER = "partial answer"


class Owner:
    """State of the owner: the entry process that issued the submission's id."""

    UP = 0
    PAUSED = 1
    DEAD = 2
    PROVED_DEAD = 3


class Job:
    """State of the submission at the owner; NONE before it is submitted."""

    NONE = 0
    RUNNING = 1
    COMPLETE = 2
    FAILED = 3


class Phase:
    """State of one task at the owner."""

    QUEUED = 0
    SENT = 1
    NOT_RUN = 2
    SUCCEEDED = 3
    FAILED = 4
    UNKNOWN = 5


ENDED_PHASES = (Phase.NOT_RUN, Phase.SUCCEEDED, Phase.FAILED, Phase.UNKNOWN)


class AttemptStatus:
    """State of one attempt at the agent."""

    WAITING = 0
    ACCEPTED = 1
    POSTED = 2
    REFUSED = 3
    SUCCEEDED = 4
    FAILED = 5
    UNKNOWN = 6


OUTCOME_BY_STATUS = {
    AttemptStatus.REFUSED: Phase.NOT_RUN,
    AttemptStatus.SUCCEEDED: Phase.SUCCEEDED,
    AttemptStatus.FAILED: Phase.FAILED,
    AttemptStatus.UNKNOWN: Phase.UNKNOWN,
}


class FrameKind:
    """Kind of a frame between the owner and the agent."""

    START = 0
    RESOLVE = 1
    REPORT = 2


class Frame(NamedTuple):
    """A frame under way.

    ``outcome`` is set in reports; ``is_late`` marks starts past their validity.
    """

    kind: int
    session: int
    task: int = 0
    attempt: int = 0
    outcome: int = 0
    is_late: int = 0


class Task(NamedTuple):
    """The owner's record of a task."""

    attempt: int = 1
    phase: int = Phase.QUEUED


class AttemptRecord(NamedTuple):
    """The agent's record of an attempt; ``is_expired`` once its validity is over."""

    task: int
    attempt: int
    status: int
    is_expired: int = 0


class Limits(NamedTuple):
    """How often each event may still happen, which bounds the search.

    ``expiries`` counts the times that the validity of all starts runs out.
    """

    sessions: int = 2
    attempts: int = 2
    agent_restarts: int = 1
    duplicates: int = 1
    expiries: int = 1
    owner_faults: int = 1


class State(NamedTuple):
    """One state of the model.

    Counted for each task: ``starts`` are the runs started at endpoints,
    ``requests_in_flight`` the requests on their way to the endpoint;
    ``reported_not_run`` marks the tasks that a caller was told did not run.
    ``answer`` is the job's state as reported to the caller, ``Job.NONE`` before that.
    ``has_forgotten`` is 1 once the agent has removed the record of an attempt whose
    report was not acknowledged. ``taken_over`` is 1 once a second entry has taken the
    job over and 2 once that entry has started a task.
    """

    owner: int
    job: int
    tasks: tuple[Task, ...]
    session: int
    session_incarnation: int
    last_session: int
    incarnation: int
    agent_paused: int
    records: tuple[AttemptRecord, ...]
    has_forgotten: int
    frames: tuple[Frame, ...]
    requests_in_flight: tuple[int, ...]
    starts: tuple[int, ...]
    reported_not_run: tuple[int, ...]
    answer: int
    taken_over: int
    limits: Limits
