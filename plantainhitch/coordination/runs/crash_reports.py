"""Decides which ends of an endpoint its agent reports to the owners as crashes."""

from .crash_suspects import CrashSuspects


class CrashReports:
    """The crash of the present lifetime of the endpoint, and those that were counted.

    A refused connection is reported at once, as a queue whose tasks crash endpoints has
    to be contained early. It is withdrawn if the endpoint answers again. After that, a
    refusal of the same lifetime is reported only with its end. ``owners`` are the
    ``Owners`` that get the reports, ``run_log`` is the ``RunLog``.
    """

    def __init__(self, clock, owners, run_log):
        self._owners = owners
        self._run_log = run_log
        self._suspects = CrashSuspects(clock)
        self._count = 0
        # What may have caused a crash when connections were first refused, None if
        # they are not, and whether owners were told of it.
        self._suspected = None
        self._is_reported = False
        # The lifetime whose report was withdrawn last.
        self._withdrawn_lifetime = None

    @property
    def count(self):
        """The number of lifetimes that have ended without notice."""
        return self._count

    def run_stopped(self, run):
        """Record a run that was at the endpoint and ended other than done."""
        self._suspects.run_stopped(run)

    def record_refusal(self, endpoint, runs):
        """Record that the endpoint refuses connections, with ``runs`` there."""
        self._suspected = self._suspects.crash_of(endpoint, runs)
        self._is_reported = self._suspected.lifetime != self._withdrawn_lifetime
        if self._is_reported and self._suspected.runs:
            self._owners.record_crash(self._suspected)

    def record_answer(self):
        """Withdraw what was reported for refused connections."""
        crash, self._suspected = self._suspected, None
        if crash is not None and self._is_reported and crash.runs:
            self._withdrawn_lifetime = crash.lifetime
            self._owners.withdraw_crash(crash)

    def record_end(self, endpoint, runs, reason):
        """Record that a lifetime has ended without notice, with ``runs`` there."""
        crash = self._suspected or self._suspects.crash_of(endpoint, runs)
        is_known = self._suspected is not None and self._is_reported
        self._suspected = None
        self._count += 1
        if crash.runs and not is_known:
            self._owners.record_crash(crash)
        self._run_log.endpoint_crashed(crash, reason)

    def begin_lifetime(self):
        """Forget what belongs to the lifetime before."""
        self._suspects.clear()
        self._suspected = None
