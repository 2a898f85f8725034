"""The lease under which an endpoint executes runs, and the offset of its clock.

An endpoint stops its runs when their lease has expired. The agent renews the lease,
and after a renewal that the endpoint may have received it assumes the runs to be
running until the lease has certainly expired.
"""

import math

# An endpoint that has not answered for this long gets no new runs. The time is longer
# than an inventory that waits for an end plus one that is lost.
SUSPECT_AFTER_MS = 600
# The runs of an endpoint that doesn't answer are given up this long after its lease has
# certainly expired, should it be later than its bounds.
LOSS_MARGIN_MS = 50


class EndpointLease:
    """The lease of the present lifetime of an endpoint, by the ``LeaseTimes``."""

    def __init__(self, clock, times):
        self._clock = clock
        self._times = times
        # The endpoint's clock minus the agent's, None before its first answer.
        self._clock_offset_ms = None
        self._last_answer_ms = clock.now_ms()
        # When all runs have certainly ended under the renewals so far, None before the
        # first.
        self._end_ms = None
        # When the last renewal was sent, and the latest expiry of all renewals on the
        # endpoint's clock; None before the first.
        self._renewed_ms = self._expiry_clock_ms = None

    @property
    def renewed_ms(self):
        """When the last renewal was sent, None before the first."""
        return self._renewed_ms

    @property
    def expiry_clock_ms(self):
        """The latest expiry that was sent, on the endpoint's clock; None if unknown."""
        return self._expiry_clock_ms

    @property
    def end_ms(self):
        """When all runs have certainly ended without a further renewal."""
        return -math.inf if self._end_ms is None else self._end_ms

    @property
    def is_suspect(self):
        """Whether the endpoint has not answered for ``SUSPECT_AFTER_MS``.

        Its lease is not renewed then.
        """
        return self._clock.now_ms() - self._last_answer_ms > SUSPECT_AFTER_MS

    @property
    def is_expired(self):
        """Whether no run can still be running under the last renewal.

        It stays expired until it is discarded: a renewal after a pause of the process
        must not conceal that there was none in time.
        """
        return self._is_expired_at(self._clock.now_ms())

    @property
    def has_answered_since_expiry(self):
        """Whether the endpoint has answered after its lease has certainly expired.

        It is not suspect, and its inventories tell which runs have ended.
        """
        is_answered = self.is_expired and self._last_answer_ms > self.end_ms
        return is_answered and not self.is_suspect

    @property
    def may_have_runs(self):
        """Whether less than ``LOSS_MARGIN_MS`` have passed since its certain expiry."""
        return self._clock.now_ms() <= self.end_ms + LOSS_MARGIN_MS

    @property
    def is_lost(self):
        """Whether ``LOSS_MARGIN_MS`` have passed since expiry without an answer."""
        is_due = self.is_expired and not self.may_have_runs
        return is_due and not self.has_answered_since_expiry

    def renew(self, limit_ms):
        """Record a renewal that is sent now; return its expiry.

        All runs have certainly ended under it at ``limit_ms``. The expiry is on the
        endpoint's clock. It is None, and no renewal is to be sent, while the clock is
        unknown, the endpoint is suspect, the lease has expired or the limit is too
        near. One reading of the clock decides, so that a process which is paused before
        it sends the renewal extends no lease that has expired meanwhile.
        """
        now_ms = self._clock.now_ms()
        is_suspect = now_ms - self._last_answer_ms > SUSPECT_AFTER_MS
        is_known = self._clock_offset_ms is not None
        if not is_known or is_suspect or self._is_expired_at(now_ms):
            return None
        remaining_ms = self._times.longest_lease_ms(limit_ms - now_ms)
        length_ms = min(self._times.endpoint_ms, remaining_ms)
        if length_ms <= 0:
            return None
        length_ms = int(length_ms)
        self._extend(now_ms, length_ms)
        expiry_clock_ms = now_ms + self._clock_offset_ms + length_ms
        self._expiry_clock_ms = max(self._expiry_clock_ms or 0, expiry_clock_ms)
        return expiry_clock_ms

    def record_renewal(self):
        """Record a renewal that is not known, as long as the endpoint grants it."""
        now_ms = self._clock.now_ms()
        if not self._is_expired_at(now_ms):
            self._extend(now_ms, self._times.max_endpoint_ms)

    def record_answer(self, clock_ms):
        """Record an answer with the endpoint's clock; 0 if the answer has none."""
        if clock_ms:
            self._last_answer_ms = self._clock.now_ms()
            self._clock_offset_ms = clock_ms - self._last_answer_ms

    def discard_if_expired(self):
        """Allow a new lease after one that has expired without a run under it."""
        if self.is_expired:
            self._end_ms = None

    def reset(self):
        """Discard the lease and the clock of a lifetime that has ended.

        The next lifetime is not suspect for the silence of this one.
        """
        self._last_answer_ms = self._clock.now_ms()
        self._clock_offset_ms = None
        self._end_ms = None
        self._renewed_ms = self._expiry_clock_ms = None

    def _extend(self, now_ms, length_ms):
        self._renewed_ms = now_ms
        self._end_ms = max(self.end_ms, now_ms + self._times.longest_run_ms(length_ms))

    def _is_expired_at(self, now_ms):
        return self._end_ms is not None and now_ms > self._end_ms
