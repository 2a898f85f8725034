"""Typed messages between entries and agents.

A frame on a link carries one ``Envelope``: a message with time stamps and an
acknowledgement. Time stamps are in ms on the sender's clock.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from ..outcomes import Outcome
from ..state.crashes import EndpointCrash
from ..state.endpoints import End
from ..state.jobs import Room, RunKey

# Version 2 added ``Evacuations``. A process of version 1 closes a link on which it
# receives this message, so that it must not be sent there.
PROTOCOL_VERSION = 2
EVACUATIONS_VERSION = 2
# Times after a report for which it forecasts the free processor of the endpoint.
FORECAST_HORIZONS_MS = (25, 50, 100, 200, 400, 800)
ROLE_ENTRY = "entry"
ROLE_AGENT = "agent"


class TaskKey(NamedTuple):
    """One attempt at one task: (submission id, task index, attempt number)."""

    submission: bytes
    index: int
    attempt: int


@dataclass(slots=True)
class Hello:
    """First message on a link, sent by both sides.

    ``link_number`` rises with each link that the sending process dials. It is 0 on
    links that it accepts, and from processes that don't number their links.
    """

    role: str
    incarnation: bytes
    name: str
    zone: str = ""
    protocol_version: int = PROTOCOL_VERSION
    configuration_version: int = 0
    link_number: int = 0


@dataclass(slots=True)
class AgentStatus:
    """Capacity and readiness of an agent's endpoint, counted in slots."""

    endpoint: str
    slots: int
    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    draining: bool = False
    ready: bool = True
    rack: str = ""


@dataclass(slots=True)
class Start:
    """An order to start one task, at once or as soon as a slot is free.

    ``body`` is the task's JSON value and ``timeout_ms`` the limit of its run time.
    """

    key: TaskKey
    class_name: str
    body: bytes
    timeout_ms: int
    traceparent: str = ""


@dataclass(slots=True)
class StartBatch:
    """The starts for one agent from one placement round."""

    starts: list[Start]


@dataclass(slots=True)
class Report:
    """The outcome of one attempt; ``run_ms`` is its run time at the endpoint."""

    key: TaskKey
    outcome: Outcome
    run_ms: int = 0


@dataclass(slots=True)
class Waiting:
    """The number of starts of one entry and class that wait at an agent for a slot."""

    class_name: str
    count: int


@dataclass(slots=True)
class ReportBatch:
    """Reports, numbered per link, with the agent's load at the time of sending.

    ``spare`` is the number of free slots minus the waiting starts of all entries; it
    may be negative. ``waiting`` counts the waiting starts of the receiving entry.
    """

    number: int
    reports: list[Report]
    spare: int = 0
    waiting: list[Waiting] = field(default_factory=list)


@dataclass(slots=True)
class CancelBatch:
    """An order to stop the attempts ``keys``."""

    keys: list[TaskKey]


@dataclass(slots=True)
class Resolve:
    """A request for the outcomes of attempts sent on an earlier link.

    The agent reports each finished attempt at once and each running one when it
    finishes. For an attempt that it has never received it reports ``NotRun``, and
    refuses that attempt from then on.
    """

    keys: list[TaskKey]


@dataclass(slots=True)
class Configuration:
    """One version of the class document, as JSON.

    With an empty document it is, from an entry, a notice of the version that the
    entry has; from an agent, a request for any version newer than ``version``, which
    the agent has.
    """

    version: int
    document: bytes


@dataclass(slots=True)
class Drain:
    """An operator's order to an agent to refuse starts, or to accept them again."""

    draining: bool


@dataclass(slots=True)
class Heartbeat:
    """Sent on an idle link to keep it alive and its time stamps recent."""


@dataclass(slots=True)
class Call:
    """A caller's operation, forwarded to the entry that owns the submission.

    ``number`` matches the ``Reply`` to its call. ``operation`` and ``body`` are those
    of ``protocol.forwarding``. The owner may wait up to ``wait_ms`` for the end.
    """

    number: int
    operation: str
    submission: bytes
    wait_ms: int
    body: bytes


@dataclass(slots=True)
class Reply:
    """The reply to the ``Call`` of the same number.

    ``status`` is an HTTP status and ``body`` an answer of ``protocol.forwarding``.
    """

    number: int
    status: int
    body: bytes


@dataclass(slots=True)
class RunStart:
    """An order to start one run of a task of a job.

    The start may wait up to ``wait_ms`` at the agent for room, in the order of
    ``QueueRanks``. ``is_late`` is True if its job can no longer end in time, and
    ``slack_ms`` is the time until the job is due. ``estimate_ms`` is the expected run
    time at the endpoint, and ``size_ms`` that at an endpoint with a slowness of 1, 0 if
    unknown. If ``is_isolated``, the run must not be at the endpoint together with a run
    of another job. ``born_ms`` is the lifetime of the endpoint that the task was placed
    at, by its labels and its capacity; 0 allows any.
    """

    key: RunKey
    payload: str
    room: Room
    estimate_ms: int = 0
    wait_ms: int = 0
    queue: str = ""
    checkpoint: str = ""
    slack_ms: int = 0
    is_late: bool = False
    is_isolated: bool = False
    size_ms: int = 0
    born_ms: int = 0


@dataclass(slots=True)
class RunOrders:
    """Orders for one agent from one round, numbered per sender.

    ``expected_runs`` are runs sent on an earlier link that the sender expects to be at
    the agent; the agent reports the end of those that are not. The first orders on a
    link are a resync: the agent stops all runs of the sender that they don't name.
    """

    number: int
    starts: list[RunStart] = field(default_factory=list)
    stops: list[RunKey] = field(default_factory=list)
    expected_runs: list[RunKey] = field(default_factory=list)
    is_resync: bool = False


@dataclass(slots=True)
class RunEnd:
    """The end of a run; ``run_ms`` is the time since its start at the endpoint."""

    key: RunKey
    end: End
    reason: str = ""
    checkpoint: str = ""
    run_ms: int = 0


@dataclass(slots=True)
class RunReports:
    """Ends of runs, numbered per owner, with the agent's load at the time of sending.

    ``orders_seen`` is the number of the receiver's last ``RunOrders`` that the other
    fields take into account. ``free`` is the room that no run takes up,
    ``expected_free_millis`` the processor expected to be free at each of
    ``FORECAST_HORIZONS_MS``, ``waiting_by_rank`` pairs of a rank and the processor
    that its waiting starts need, and ``pace`` the progress of runs as a multiple of
    the expected progress. Processor is in thousandths of a core. ``crashes`` are those
    of the endpoint that were not reported on this link before, also those in which the
    receiver had no run. ``slowness`` is that of the endpoint by ``slowness_samples``
    runs of all owners, 0 if unknown. The last ``failures`` runs failed in a row.
    """

    number: int
    orders_seen: int
    ends: list[RunEnd] = field(default_factory=list)
    free: Room = Room()
    expected_free_millis: tuple[int, ...] = ()
    waiting_by_rank: tuple[tuple[float, int], ...] = ()
    pace: float = 1.0
    crashes: list[EndpointCrash] = field(default_factory=list)
    slowness: float = 0.0
    slowness_samples: int = 0
    failures: int = 0


@dataclass(slots=True)
class Introduction:
    """Members that the sender knows, each as the JSON of its row in the store.

    Without members it asks the receiver for those that the sender may not know.
    """

    members: list[bytes]


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """The usual load of a queue, as a share of the fleet's processor.

    ``slack_ms`` is the time that its jobs can usually wait and still end in time.
    ``contained_ms`` is for how long the queue stays contained because a task of it
    probably crashes endpoints, 0 if it is not. Priority 0 is the most urgent.
    ``offered_share`` is the work that arrived lately, as ``share`` is given, and
    ``waiting_share`` the work that waits, in seconds of the whole fleet.
    """

    queue: str
    share: float
    slack_ms: int
    contained_ms: int = 0
    priority: int = 0
    offered_share: float = 0.0
    waiting_share: float = 0.0


@dataclass(slots=True)
class QueueLoads:
    """The queue loads of an entry or, sent by an agent, their sums over all entries."""

    loads: list[QueueLoad]


@dataclass(slots=True)
class EndpointStatus:
    """Identity, capacity and readiness of an agent's endpoint, for runs of jobs.

    ``ready`` means that the endpoint accepts starts, and that no run of an earlier
    lifetime of the endpoint or of the agent is still in progress. ``cold_for_ms`` is
    how much longer the endpoint is slow after its start.
    """

    endpoint_id: str
    born_ms: int
    pool: str
    ready: bool
    draining: bool = False
    capacity: Room = Room()
    kind: str = ""
    rack: str = ""
    labels: tuple[str, ...] = ()
    cold_for_ms: int = 0

    @property
    def lifetime(self):
        """The pair (``endpoint_id``, ``born_ms``)."""
        return self.endpoint_id, self.born_ms


@dataclass(frozen=True, slots=True)
class Evacuations:
    """The availability zones in which no task is to be started.

    Of several sets the one with the highest ``revision`` is in force, which is that of
    the store when the set was read.
    """

    revision: int
    zones: tuple[str, ...] = ()


Message = (
    Hello
    | AgentStatus
    | StartBatch
    | ReportBatch
    | CancelBatch
    | Resolve
    | Configuration
    | Drain
    | Heartbeat
    | Call
    | Reply
    | RunOrders
    | RunReports
    | EndpointStatus
    | QueueLoads
    | Introduction
    | Evacuations
)


@dataclass(slots=True)
class Envelope:
    """The content of a frame: a message, time stamps and an acknowledgement.

    ``stamp_ms`` is the sender's time, ``echo_ms`` the latest stamp that the sender has
    received on this link (0 for none), and ``ack`` the number of the latest batch of
    reports received (0 for none).
    """

    message: Message
    stamp_ms: int = 0
    echo_ms: int = 0
    ack: int = 0
