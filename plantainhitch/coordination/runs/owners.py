"""The entries that own runs at an agent: their leases and their unread reports.

An owner's lease is proved by stamps of the agent's own clock that come back from
the owner, so a delayed frame never extends it.
"""

from dataclasses import dataclass, field

from ...protocol import messages as m

# A run is stopped this long after its owner was last known to be alive. With the
# stop and the endpoint's lease it stays below the 1.3 s after which callers submit
# again, and above three heartbeats and a retransmission.
OWNER_LEASE_MS = 900


@dataclass(slots=True)
class Owner:
    """One entry incarnation; ``unread`` are (report number, ends) not yet read."""

    lease_until_ms: int = 0
    orders_seen: int = 0
    last_number: int = 0
    is_linked: bool = False
    loads: list[m.QueueLoad] = field(default_factory=list)
    unsent_ends: list[m.RunEnd] = field(default_factory=list)
    unacknowledged: list[tuple[int, list[m.RunEnd]]] = field(default_factory=list)


class Owners:
    """All owners known to an agent, by incarnation."""

    def __init__(self, clock):
        self._clock = clock
        self._owners = {}

    @property
    def linked(self):
        """The incarnations that have a link now."""
        return [name for name, owner in self._owners.items() if owner.is_linked]

    def get_or_create(self, incarnation):
        """Return the ``Owner``, a new one where it is not known."""
        owner = self._owners.get(incarnation)
        if owner is None:
            owner = self._owners[incarnation] = Owner()
        return owner

    def link_opened(self, incarnation):
        """Note a new link; what the owner has not read is to be sent again."""
        owner = self.get_or_create(incarnation)
        owner.is_linked = True
        again = [end for _, ends in owner.unacknowledged for end in ends]
        owner.unacknowledged.clear()
        owner.unsent_ends[:0] = again
        return owner

    def link_closed(self, incarnation):
        """Note that the link has ended."""
        self.get_or_create(incarnation).is_linked = False

    def record_frame(self, incarnation, echo_ms, ack):
        """Take in the echo and the acknowledgement of a frame."""
        owner = self.get_or_create(incarnation)
        owner.lease_until_ms = max(owner.lease_until_ms, echo_ms + OWNER_LEASE_MS)
        while owner.unacknowledged and owner.unacknowledged[0][0] <= ack:
            owner.unacknowledged.pop(0)

    def is_alive(self, incarnation):
        """Return whether the owner's lease holds."""
        owner = self._owners.get(incarnation)
        return owner is not None and owner.lease_until_ms >= self._clock.now_ms()

    def total_loads(self):
        """Return the loads of the queues of all owners that are alive, summed."""
        total = {}
        for name, owner in self._owners.items():
            if not self.is_alive(name):
                continue
            for load in owner.loads:
                known = total.get(load.queue)
                share = load.share + (known.share if known else 0.0)
                total[load.queue] = m.QueueLoad(load.queue, share, load.slack_ms)
        return list(total.values())

    def remove_expired(self, keep):
        """Drop owners without a link or lease that are not in ``keep``."""
        for name in list(self._owners):
            owner = self._owners[name]
            if not owner.is_linked and name not in keep and not self.is_alive(name):
                del self._owners[name]

    def take_unsent_ends(self, owner):
        """Return the number and the ends of the owner's next report."""
        owner.last_number += 1
        ends, owner.unsent_ends = owner.unsent_ends, []
        if ends:
            owner.unacknowledged.append((owner.last_number, ends))
        return owner.last_number, ends
