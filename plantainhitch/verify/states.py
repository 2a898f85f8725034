"""The state of the model of starts: one job, its owner, one agent, one endpoint.

Everything is a tuple of small numbers, so that a state can be hashed and copied
cheaply. Sessions number the links between the owner and the agent; incarnations
number the agent's processes.
"""

import enum
from typing import NamedTuple


class Fault(enum.Enum):
    """A mistake that can be planted in the model, to see that the search finds it."""

    NONE = "none"
    START_AGAIN_AFTER_TIMEOUT = "start again after timeout"
    TAKE_OVER_ON_LAPSED_LEASE = "take over on lapsed lease"
    REFUSAL_FORGOTTEN = "refusal forgotten"
    RESTART_MEANS_NOT_RUN = "restart of the agent means not run"
    LOST_CONNECTION_MEANS_NOT_RUN = "lost connection means not run"
    UNSEEN_AFTER_FORGETTING = "unseen after forgetting means not run"
    LATE_FRAME_ACCEPTED = "late frame accepted"
    GIVEN_BACK_BEGINS = "start given back begins all the same"
    PARTIAL_ANSWER = "partial answer"


class Owner:
    """The entry process that issued the submission's id."""

    UP = 0
    PAUSED = 1
    DEAD = 2
    PROVED_DEAD = 3


class Job:
    """Where the owner stands with the submission."""

    UNSEEN = 0
    RUNNING = 1
    COMPLETE = 2
    FAILED = 3


class Phase:
    """Where the owner stands with one task."""

    QUEUED = 0
    SENT = 1
    NOT_RUN = 2
    SUCCEEDED = 3
    FAILED = 4
    UNKNOWN = 5


ENDED = (Phase.NOT_RUN, Phase.SUCCEEDED, Phase.FAILED, Phase.UNKNOWN)


class Seen:
    """What the agent remembers of one attempt."""

    WAITING = 0
    ACCEPTED = 1
    POSTED = 2
    REFUSED = 3
    SUCCEEDED = 4
    FAILED = 5
    UNKNOWN = 6


OUTCOME_OF = {
    Seen.REFUSED: Phase.NOT_RUN,
    Seen.SUCCEEDED: Phase.SUCCEEDED,
    Seen.FAILED: Phase.FAILED,
    Seen.UNKNOWN: Phase.UNKNOWN,
}


class Kind:
    """The kinds of frame between the owner and the agent."""

    START = 0
    RESOLVE = 1
    REPORT = 2


class Frame(NamedTuple):
    """A frame under way; ``outcome`` belongs to reports, ``is_late`` to starts."""

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


class Memory(NamedTuple):
    """The agent's record of an attempt."""

    task: int
    attempt: int
    seen: int
    is_old: int = 0


class Limits(NamedTuple):
    """How often each thing may still happen; this bounds the search."""

    sessions: int = 2
    attempts: int = 2
    agent_restarts: int = 1
    duplicates: int = 1
    waits: int = 1
    owner_faults: int = 1


class State(NamedTuple):
    """One state of the whole model.

    ``starts`` counts the runs begun at endpoints for each task, ``posted`` the
    requests on their way to the endpoint, and ``told_not_run`` marks the tasks of
    which a caller was told that they did not run.
    """

    owner: int
    job: int
    tasks: tuple[Task, ...]
    session: int
    session_incarnation: int
    last_session: int
    incarnation: int
    agent_paused: int
    memories: tuple[Memory, ...]
    forgot: int
    frames: tuple[Frame, ...]
    posted: tuple[int, ...]
    starts: tuple[int, ...]
    told_not_run: tuple[int, ...]
    told: int
    taken_over: int
    limits: Limits
