"""The entries that own runs at an agent: their leases and unacknowledged reports.

An owner's lease is renewed by time stamps of the agent's own clock that the owner
echoes. A delayed frame echoes an old stamp and therefore can't extend the lease
beyond what the stamp allows. On a new link it counts from the resync on: before that,
the agent doesn't know which of the runs from earlier links the owner has given up.
"""

import collections
import math
from dataclasses import dataclass, field, replace

from ... import logs
from ...protocol import messages as m
from ...state.admission_level import is_valid
from ...state.crashes import EndpointCrash

# Crashes of the endpoint that are kept for owners that link later.
MAX_KEPT_CRASHES = 20

log = logs.get_logger("owners")


@dataclass(slots=True)
class Owner:
    """One incarnation of an entry.

    ``last_contact_ms`` is the newest time stamp that it has echoed since a resync, None
    before. ``link_number`` is the highest of its links so far, and ``is_resynced``
    whether the present one has had its resync. ``orders_seen`` is the number of the
    last ``RunOrders`` on that link, and ``loads`` are those of its queues.
    ``unacknowledged`` holds pairs of a report's number and the ends in it, oldest
    first, until the owner acknowledges the report. ``unsent_crashes`` are the crashes
    of the endpoint that were not reported on its present link, each with the time at
    which it was noticed.
    """

    last_contact_ms: int | None = None
    link_number: int = 0
    is_resynced: bool = False
    orders_seen: int = 0
    last_report_number: int = 0
    is_linked: bool = False
    loads: list[m.QueueLoad] = field(default_factory=list)
    unsent_ends: list[m.RunEnd] = field(default_factory=list)
    unacknowledged: list[tuple[int, list[m.RunEnd]]] = field(default_factory=list)
    unsent_crashes: list[tuple[int, EndpointCrash]] = field(default_factory=list)


class Owners:
    """The owners that an agent knows, by incarnation; ``times`` are ``LeaseTimes``."""

    def __init__(self, clock, times):
        self._clock = clock
        self._times = times
        self._owners = {}
        # By queue: until when owners contain it, as they reported.
        self._contained_until_ms = {}
        self._recent_crashes = collections.deque(maxlen=MAX_KEPT_CRASHES)

    @property
    def linked_incarnations(self):
        """The incarnations that have a link at present."""
        return [
            incarnation
            for incarnation, owner in self._owners.items()
            if owner.is_linked
        ]

    def get_or_create(self, incarnation):
        """Return the ``Owner`` of an incarnation, adding it where it is unknown."""
        owner = self._owners.get(incarnation)
        if owner is None:
            owner = self._owners[incarnation] = Owner()
        return owner

    def link_opened(self, incarnation, link_number=0):
        """Record a new link; return False, without effect, if there was a newer one.

        An owner numbers its links in the order in which it opens them, 0 if it doesn't.
        Their hellos can arrive in another order. The number is kept after the link has
        closed, for as long as a lease or a run of the owner is left.

        Ends that were not acknowledged will be sent again, and all recent crashes: an
        owner that starts later must not take their tasks for new ones.
        """
        owner = self.get_or_create(incarnation)
        if link_number < owner.link_number:
            return False
        owner.link_number = link_number
        owner.is_linked = True
        owner.is_resynced = False
        owner.orders_seen = 0
        owner.unsent_crashes = list(self._recent_crashes)
        resent = [end for _, ends in owner.unacknowledged for end in ends]
        owner.unacknowledged.clear()
        owner.unsent_ends[:0] = resent
        return True

    def link_closed(self, incarnation):
        """Record that the link has closed."""
        self.get_or_create(incarnation).is_linked = False

    def record_crash(self, crash):
        """Record an ``EndpointCrash`` to be reported to all owners that are linked."""
        noticed = self._clock.now_ms(), crash
        self._recent_crashes.append(noticed)
        for owner in self._owners.values():
            if owner.is_linked:
                owner.unsent_crashes.append(noticed)

    def withdraw_crash(self, crash):
        """Report that a crash that was recorded has not happened.

        A report without runs withdraws the one of its lifetime, see ``CrashHistory``.
        """
        noticed = self._clock.now_ms(), replace(crash, runs=())
        self._recent_crashes = collections.deque(
            (
                noticed if kept.lifetime == crash.lifetime else (kept_ms, kept)
                for kept_ms, kept in self._recent_crashes
            ),
            maxlen=MAX_KEPT_CRASHES,
        )
        for owner in self._owners.values():
            if owner.is_linked:
                owner.unsent_crashes.append(noticed)

    def link_resynced(self, incarnation, echo_ms):
        """Renew the lease by the echo of a resync, and by the frames after it.

        To be called after the runs that the resync doesn't name were stopped.
        """
        self.get_or_create(incarnation).is_resynced = True
        self.record_frame(incarnation, echo_ms, 0)

    def record_frame(self, incarnation, echo_ms, ack):
        """Renew the lease by a frame's echo and drop the reports it acknowledges."""
        owner = self.get_or_create(incarnation)
        if owner.is_resynced:
            owner.last_contact_ms = max(owner.last_contact_ms or echo_ms, echo_ms)
        while owner.unacknowledged and owner.unacknowledged[0][0] <= ack:
            owner.unacknowledged.pop(0)

    def is_alive(self, incarnation):
        """Return whether the owner's lease is valid."""
        contact_ms = self.last_contact_ms(incarnation)
        return contact_ms + self._times.owner_ms >= self._clock.now_ms()

    def last_contact_ms(self, incarnation):
        """Return the newest time at which the owner has certainly been alive."""
        owner = self._owners.get(incarnation)
        if owner is None or owner.last_contact_ms is None:
            return -math.inf
        return owner.last_contact_ms

    def incarnations_with_unsent_events(self):
        """Return a set of the owners to which ends or crashes are to be reported."""
        return {
            incarnation
            for incarnation, owner in self._owners.items()
            if owner.unsent_ends or owner.unsent_crashes
        }

    def record_loads(self, incarnation, loads):
        """Record the loads of an owner's queues, and which of them it contains."""
        valid = [load for load in loads if is_valid(load)]
        if len(valid) < len(loads):
            log.warning("queue loads out of range ignored", loads=len(loads))
        self.get_or_create(incarnation).loads = valid
        now_ms = self._clock.now_ms()
        for load in loads:
            until_ms = now_ms + load.contained_ms
            if until_ms > self._contained_until_ms.get(load.queue, now_ms):
                self._contained_until_ms[load.queue] = until_ms

    def total_loads(self):
        """Return the load of each queue, summed over the owners that are linked.

        An owner without runs here need not renew its lease, so the lease doesn't tell.
        A queue stays contained for as long as any owner has said, also one that has
        died: its successor learns it from here.
        """
        now_ms = self._clock.now_ms()
        self._contained_until_ms = {
            queue: until_ms
            for queue, until_ms in self._contained_until_ms.items()
            if until_ms > now_ms
        }
        total = {
            queue: m.QueueLoad(queue, 0.0, 0, until_ms - now_ms)
            for queue, until_ms in self._contained_until_ms.items()
        }
        for owner in self._owners.values():
            if not owner.is_linked:
                continue
            for load in owner.loads:
                summed = total.get(load.queue, m.QueueLoad(load.queue, 0.0, 0))
                total[load.queue] = m.QueueLoad(
                    load.queue,
                    summed.share + load.share,
                    load.slack_ms,
                    summed.contained_ms,
                    max(summed.priority, load.priority),
                    summed.offered_share + load.offered_share,
                    summed.waiting_share + load.waiting_share,
                )
        return list(total.values())

    def remove_expired(self, keep):
        """Remove owners without a link or lease, except the incarnations ``keep``."""
        for incarnation in list(self._owners):
            owner = self._owners[incarnation]
            if (
                not owner.is_linked
                and incarnation not in keep
                and not self.is_alive(incarnation)
            ):
                del self._owners[incarnation]

    def take_unsent_ends(self, owner):
        """Return the number of the owner's next report and the ends to send in it.

        The ends are kept until the report is acknowledged.
        """
        owner.last_report_number += 1
        ends, owner.unsent_ends = owner.unsent_ends, []
        if ends:
            owner.unacknowledged.append((owner.last_report_number, ends))
        return owner.last_report_number, ends

    def take_unsent_crashes(self, owner):
        """Return the crashes to send in the owner's next report, with their ages."""
        now_ms = self._clock.now_ms()
        unsent, owner.unsent_crashes = owner.unsent_crashes, []
        return [
            replace(crash, age_ms=now_ms - noticed_ms) for noticed_ms, crash in unsent
        ]
