"""What a process is told of the deployment that it belongs to."""

from dataclasses import dataclass

from .state.ids import new_incarnation
from .state.members import Member
from .transport.addresses import Address


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times in milliseconds that the deployment sets.

    ``lease_ms`` is the longest lease of an endpoint, ``stop_ms`` how long a stop
    takes there, ``resubmit_ms`` how long callers wait before they submit again
    after a lost answer, and ``shutdown_ms`` how long a process has to end.
    ``remote_factor`` is how many times as long a task takes away from its data.
    """

    drain_ms: int
    lease_ms: int
    stop_ms: int
    resubmit_ms: int
    shutdown_ms: int
    configuration_ms: int
    remote_factor: float = 1.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """Name, place and addresses of one process and of what it depends on.

    An agent has ``heartbeats`` (where its endpoint reports) and ``endpoint``; an
    entry has ``front`` (callers) and ``readiness``. ``seeds`` are hosts of entries
    that may be running.
    """

    name: str
    zone: str
    region: str
    pool: str
    link: Address
    metrics: Address
    front: Address | None
    readiness: Address | None
    heartbeats: Address | None
    endpoint: Address | None
    store: Address
    seeds: tuple[str, ...]
    bounds: Bounds

    @property
    def seed_link_addresses(self):
        """Where the seeds take links: at the same port as this process."""
        own = self.link
        return [Address(host, own.port) for host in self.seeds if host != own.host]

    def new_member(self, role):
        """Return this process as a ``Member`` with a fresh incarnation."""
        return Member(
            role=role,
            incarnation=new_incarnation(),
            name=self.name,
            zone=self.zone,
            region=self.region,
            rack="",
            link=str(self.link),
            http=str(self.metrics),
        )
