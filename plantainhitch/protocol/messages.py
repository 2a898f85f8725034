"""Typed messages between the system's processes.

``Envelope`` is what a frame carries beside its message. Times are milliseconds
on the sender's clock.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from ..outcomes import Outcome
from ..state.endpoints import End
from ..state.jobs import Room, RunKey

PROTOCOL_VERSION = 1
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
    """First message on a link, sent by both sides."""

    role: str
    incarnation: bytes
    name: str
    zone: str = ""
    protocol_version: int = PROTOCOL_VERSION
    configuration_version: int = 0


@dataclass(slots=True)
class AgentStatus:
    """What an agent says of its endpoint: capacity and readiness."""

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
    """An order to start one task, at once or when a slot is free."""

    key: TaskKey
    class_name: str
    body: bytes
    timeout_ms: int
    traceparent: str = ""


@dataclass(slots=True)
class StartBatch:
    """The starts of one placement round for one agent."""

    starts: list[Start]


@dataclass(slots=True)
class Report:
    """The outcome of one attempt; ``run_ms`` is the time at the endpoint."""

    key: TaskKey
    outcome: Outcome
    run_ms: int = 0


@dataclass(slots=True)
class Waiting:
    """How many starts of one entry wait for a slot at the agent, for one class."""

    class_name: str
    count: int


@dataclass(slots=True)
class ReportBatch:
    """Reports, numbered per link, with the agent's load as they are sent.

    ``spare`` is the number of free slots less the starts that wait for one, of
    all entries; ``waiting`` are those of the entry that is addressed.
    """

    number: int
    reports: list[Report]
    spare: int = 0
    waiting: list[Waiting] = field(default_factory=list)


@dataclass(slots=True)
class CancelBatch:
    """Attempts that are to stop."""

    keys: list[TaskKey]


@dataclass(slots=True)
class Resolve:
    """Ask for the outcome of attempts sent on an earlier link.

    The agent answers each finished one with a report, keeps silent on running
    ones until they finish, and reports NotRun for each one it never saw; from
    then on it refuses that attempt.
    """

    keys: list[TaskKey]


@dataclass(slots=True)
class Configuration:
    """One version of the class document, as JSON.

    Without a document an entry names the version that it has, and an agent asks
    for any that is newer than the version it has.
    """

    version: int
    document: bytes


@dataclass(slots=True)
class Drain:
    """An operator's order to the agent: refuse new starts, or take them again."""

    draining: bool


@dataclass(slots=True)
class Heartbeat:
    """Keeps an idle link alive and its stamps fresh."""


@dataclass(slots=True)
class Call:
    """An entry passes a caller's operation to the entry that owns the id."""

    number: int
    operation: str
    submission: bytes
    wait_ms: int
    body: bytes


@dataclass(slots=True)
class Reply:
    """The answer to a ``Call``: an HTTP status and a JSON body."""

    number: int
    status: int
    body: bytes


@dataclass(slots=True)
class RunStart:
    """An order to start one run of a task of a job.

    It may wait ``wait_ms`` at the agent for room, in the order of ``QueueRanks``;
    ``is_late`` says that its job can't end in time any more, ``slack_ms`` how long
    it is until the job is due. ``estimate_ms`` is the expected run time there.
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


@dataclass(slots=True)
class RunOrders:
    """Orders of one round for one agent, numbered per sender.

    ``expected_runs`` names runs sent on an earlier link that should be at the agent; it
    reports those that are not. The first orders on a link are a resync: the sender's
    runs that are not named are stopped.
    """

    number: int
    starts: list[RunStart] = field(default_factory=list)
    stops: list[RunKey] = field(default_factory=list)
    expected_runs: list[RunKey] = field(default_factory=list)
    is_resync: bool = False


@dataclass(slots=True)
class RunEnd:
    """The end of a run; ``run_ms`` counts from its start at the endpoint."""

    key: RunKey
    end: End
    reason: str = ""
    checkpoint: str = ""
    run_ms: int = 0


@dataclass(slots=True)
class RunReports:
    """Ends of runs, numbered per owner, with the room left as they are sent.

    ``orders_seen`` is the number of the receiver's last ``RunOrders`` that the rest
    takes into account. ``free`` is the room that no run takes up,
    ``expected_free_millis`` the processor expected to be free at each of
    ``FORECAST_HORIZONS_MS``,
    ``waiting_by_rank`` pairs of a rank and the processor that its waiting starts need,
    and ``pace`` how fast runs progress as a multiple of what was expected. Processor
    is in thousandths of a core.
    """

    number: int
    orders_seen: int
    ends: list[RunEnd] = field(default_factory=list)
    free: Room = Room()
    expected_free_millis: tuple[int, ...] = ()
    waiting_by_rank: tuple[tuple[float, int], ...] = ()
    pace: float = 1.0


@dataclass(slots=True)
class Introduction:
    """Members that the sender knows, each as the JSON of its row."""

    members: list[bytes]


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """The usual load of a queue as a share of the fleet's processor.

    ``slack_ms`` is how long its jobs can usually wait and still end in time.
    """

    queue: str
    share: float
    slack_ms: int


@dataclass(slots=True)
class QueueLoads:
    """The loads of the sender's queues; from an agent, those of all entries."""

    loads: list[QueueLoad]


@dataclass(slots=True)
class EndpointStatus:
    """What an agent says of its endpoint.

    ``ready`` means that it takes starts, and that no run of an earlier lifetime of
    the endpoint or of the agent is at work any more.
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
)


@dataclass(slots=True)
class Envelope:
    """A message with the stamps and the acknowledgement of its frame."""

    message: Message
    stamp_ms: int = 0
    echo_ms: int = 0
    ack: int = 0
