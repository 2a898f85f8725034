"""The deployment that a process belongs to: addresses, place and time limits."""

from dataclasses import dataclass

from .state.ids import new_incarnation
from .state.members import Member
from .transport.addresses import Address


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits set by the deployment, in milliseconds.

    ``lease_ms`` is the longest lease at an endpoint and ``stop_ms`` the time that a
    stop takes there. Callers submit again ``resubmit_ms`` after a lost answer, and a
    process has ``shutdown_ms`` to end. A task on another rack than its data takes
    ``remote_factor`` times as long. ``cold_slack`` and ``cold_overshoot`` limit the
    runs at a cold endpoint, see ``WarmUpLimits``; None means no limit.
    """

    drain_ms: int
    lease_ms: int
    stop_ms: int
    resubmit_ms: int
    shutdown_ms: int
    configuration_ms: int
    remote_factor: float = 1.0
    cold_slack: int | None = None
    cold_overshoot: float | None = None


@dataclass(frozen=True, slots=True)
class Deployment:
    """Name, place and addresses of one process, and addresses that it connects to.

    An agent has ``heartbeats``, where its endpoint reports, and ``endpoint``; an entry
    has ``front``, where callers submit jobs, and ``readiness``. ``seeds`` are hosts on
    which entries may be running.
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
        """The addresses at which the seeds accept links, without this process.

        All entries accept links at the port that this process has.
        """
        own = self.link
        return [Address(host, own.port) for host in self.seeds if host != own.host]

    def new_member(self, role):
        """Return this process as a ``Member`` with a new incarnation."""
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
