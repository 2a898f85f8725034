"""The status of an entry and of its endpoints, as operators see them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointView:
    """The state of one endpoint from this entry's point of view."""

    name: str
    agent: str
    zone: str
    rack: str
    slots: int
    spare: int
    running: int
    draining: bool
    ready: bool
    held_back: bool
    linked: bool

    @classmethod
    def from_agent(cls, agent, held_back):
        """Return the view of the endpoint of an ``AgentView``."""
        status = agent.status
        return cls(
            name=agent.endpoint,
            agent=agent.name,
            zone=agent.zone,
            rack=agent.rack,
            slots=agent.slots,
            spare=agent.free_slots,
            running=len(agent.in_flight),
            draining=agent.is_drained or bool(status and status.draining),
            ready=bool(status and status.ready),
            held_back=held_back,
            linked=agent.is_linked,
        )


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """The state of the entry; counters run since the start of the process."""

    name: str
    incarnation: str
    zone: str
    ready: bool
    draining: bool
    configuration_version: int
    agents: int
    linked_agents: int
    submissions_running: int
    queued: dict[str, int]
    in_flight: int
    held_back: int
    started: int
    retried: int
    refused_starts: int
    late_reports: int
    frames_sent: int
    bytes_sent: int


def endpoint_views(dispatcher):
    """Return an ``EndpointView`` for each agent of the dispatcher, sorted by name."""
    outlier_detector = dispatcher.outlier_detector
    views = [
        EndpointView.from_agent(
            agent, outlier_detector.health_of(agent.endpoint).is_held_back
        )
        for agent in dispatcher.agents.values()
    ]
    return sorted(views, key=lambda view: view.name)


def entry_status(member, core, *, ready, draining, version):
    """Return the ``EntryStatus`` of the entry ``member`` with the state of ``core``."""
    dispatcher = core.dispatcher
    counts = dispatcher.counts
    return EntryStatus(
        name=member.name,
        incarnation=member.incarnation.hex(),
        zone=member.zone,
        ready=ready,
        draining=draining,
        configuration_version=version,
        agents=len(dispatcher.agents),
        linked_agents=sum(a.is_linked for a in dispatcher.agents.values()),
        submissions_running=dispatcher.submissions.running_count,
        queued=dispatcher.queued_by_class(),
        in_flight=dispatcher.in_flight,
        held_back=dispatcher.outlier_detector.held_back_count,
        started=counts.started,
        retried=counts.retried,
        refused_starts=counts.refused_starts,
        late_reports=counts.late_reports,
        frames_sent=core.frames_sent,
        bytes_sent=core.bytes_sent,
    )
