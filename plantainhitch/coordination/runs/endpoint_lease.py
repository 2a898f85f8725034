"""The lease under which an endpoint executes runs, and the offset of its clock.

An endpoint stops its runs when their lease has expired. The agent renews the lease,
and after a renewal that the endpoint may have received it assumes the runs to be
running until the lease has certainly expired.
"""

# The factor by which the endpoint's steady clock may be slower than the agent's.
CLOCK_DRIFT_FACTOR = 1.02
# The time that the endpoint takes to stop a run after its lease has expired.
LAPSE_MARGIN_MS = 80
# An endpoint that has not answered for this long gets no new runs. The time is longer
# than an inventory that waits for an end plus one that is lost.
SUSPECT_AFTER_MS = 600


class EndpointLease:
    """The lease of the present lifetime of an endpoint.

    ``length_ms`` is the longest lease that the endpoint grants.
    """

    def __init__(self, clock, length_ms):
        self._clock = clock
        self._length_ms = length_ms
        # The endpoint's clock minus the agent's, None before its first answer.
        self._clock_offset_ms = None
        self._last_answer_ms = clock.now_ms()
        self._last_renewal_ms = None

    @property
    def length_ms(self):
        """The longest lease that the endpoint grants."""
        return self._length_ms

    @property
    def is_suspect(self):
        """Whether the endpoint has not answered for ``SUSPECT_AFTER_MS``.

        Its lease is not renewed then.
        """
        return self._clock.now_ms() - self._last_answer_ms > SUSPECT_AFTER_MS

    @property
    def is_expired(self):
        """Whether no run can still be running under the last renewal.

        It stays expired until ``reset``: a renewal after a pause of the process must
        not conceal that there was none in time.
        """
        return self._is_expired_at(self._clock.now_ms())

    def renew(self):
        """Record a renewal that is sent now; return its expiry.

        The expiry is on the endpoint's clock. It is None, and no renewal is to be sent,
        while the clock is unknown, the endpoint is suspect or the lease has expired.
        One reading of the clock decides, so that a process which is paused before it
        sends the renewal extends no lease that has expired meanwhile.
        """
        now_ms = self._clock.now_ms()
        is_suspect = now_ms - self._last_answer_ms > SUSPECT_AFTER_MS
        is_known = self._clock_offset_ms is not None
        if not is_known or is_suspect or self._is_expired_at(now_ms):
            return None
        self._last_renewal_ms = now_ms
        return now_ms + self._clock_offset_ms + self._length_ms

    def record_renewal(self):
        """Record that a renewal is sent, which the endpoint may receive."""
        now_ms = self._clock.now_ms()
        if not self._is_expired_at(now_ms):
            self._last_renewal_ms = now_ms

    def record_answer(self, clock_ms):
        """Record an answer with the endpoint's clock; 0 if the answer has none."""
        if clock_ms:
            self._last_answer_ms = self._clock.now_ms()
            self._clock_offset_ms = clock_ms - self._last_answer_ms

    def reset(self):
        """Discard the lease and the clock of a lifetime that has ended.

        The next lifetime is not suspect for the silence of this one.
        """
        self._last_answer_ms = self._clock.now_ms()
        self._clock_offset_ms = None
        self._last_renewal_ms = None

    def _is_expired_at(self, now_ms):
        if self._last_renewal_ms is None:
            return False
        max_lease_ms = self._length_ms * CLOCK_DRIFT_FACTOR + LAPSE_MARGIN_MS
        return now_ms > self._last_renewal_ms + max_lease_ms
