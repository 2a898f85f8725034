"""The present lifetime of an agent's endpoint; does no input or output.

A lifetime begins with a heartbeat that the endpoint has confirmed. It is over once the
endpoint answers as another one, see docs/design/lifetimes.md.
"""

import enum

from ... import logs

log = logs.get_logger("runs")


class HeartbeatEffect(enum.Enum):
    """What a heartbeat says of the lifetime that an agent knows."""

    IGNORED = "older than what is known"
    UPDATE = "the present lifetime goes on"
    NEW_LIFETIME = "another lifetime has begun"


class EndpointLifetime:
    """The newest report of the endpoint, and what its answers say of that lifetime.

    ``report`` is an ``EndpointReport``, None before the first. ``is_refusing`` is
    whether its address has refused connections since its last answer, and
    ``is_superseded`` whether it has answered as another lifetime than the report's.
    ``is_reconciled`` is whether the lifetime has listed no run that is unknown here.
    ``refusal_count`` and ``replacement_count`` say how often the first two began.
    """

    def __init__(self):
        self.report = None
        self.is_refusing = False
        self.is_superseded = False
        self.is_reconciled = False
        self.refusal_count = 0
        self.replacement_count = 0
        self._last_end_number = 0

    @property
    def last_end_number(self):
        """The number of the last end taken from an inventory, 0 before the first."""
        return self._last_end_number

    @property
    def is_known(self):
        """Whether kind and capacity of the present lifetime are known."""
        return self.report is not None and not self.is_superseded

    @property
    def is_serving(self):
        """Whether the lifetime is known, reconciled, reachable and not draining."""
        is_reachable = self.is_reconciled and not self.is_refusing
        return self.is_known and is_reachable and not self.report.draining

    def is_present(self, lifetime):
        """Return whether a pair (endpoint id, born_ms) is the present lifetime."""
        return self.is_known and self.report.lifetime == lifetime

    def effect_of(self, report, *, is_confirmed):
        """Return the ``HeartbeatEffect`` of a report, which is not recorded.

        Reports older than the newest one are ignored, unless the endpoint has confirmed
        that this is its present lifetime.
        """
        previous = self.report
        if previous is None:
            return HeartbeatEffect.NEW_LIFETIME
        if report.born_ms < previous.born_ms and not is_confirmed:
            return HeartbeatEffect.IGNORED
        # A lifetime that seemed to be over begins anew if it answers after all.
        is_back = self.is_superseded and is_confirmed
        if report.lifetime != previous.lifetime or is_back:
            return HeartbeatEffect.NEW_LIFETIME
        if report.sequence < previous.sequence:
            return HeartbeatEffect.IGNORED
        return HeartbeatEffect.UPDATE

    def begin(self, report):
        """Begin the lifetime of a report, after ``lost`` for the one before."""
        self.report = report
        self.is_refusing = self.is_superseded = False
        log.info(
            "new endpoint lifetime",
            endpoint=report.endpoint_id,
            born_ms=report.born_ms,
            cpu_millis=report.capacity.cpu_millis,
            kind=report.kind,
            rack=report.rack,
        )

    def refused(self):
        """Record that a connection was refused."""
        self.is_refusing = True
        self.refusal_count += 1

    def replaced(self, born_ms):
        """Record an answer as another lifetime; ``born_ms`` 0 is that of another id."""
        self.is_superseded = True
        self.replacement_count += 1
        log.warning(
            "the endpoint answers as another lifetime",
            endpoint=self.report.endpoint_id,
            answered_born_ms=born_ms,
        )

    def lost(self, reason, unconfirmed_count):
        """Record that the endpoint has lost its runs, but for the unconfirmed ones."""
        if self.is_reconciled:
            log.warning("endpoint lost", why=reason, unconfirmed=unconfirmed_count)
        self.is_reconciled = False
        self._last_end_number = 0

    def reconciled(self):
        """Record an inventory that lists no run that is unknown here."""
        if not self.is_reconciled:
            self.is_reconciled = True
            log.info("endpoint reconciled", last_end_number=self._last_end_number)

    def new_ends(self, ended):
        """Return the ends of an inventory that were not taken yet, and take them."""
        new = [end for end in ended if end.number > self._last_end_number]
        if new:
            self._last_end_number = max(end.number for end in new)
        return new
