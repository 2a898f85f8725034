"""The lease that keeps an endpoint's runs going, and what is known of its clock."""

# How much slower than ours the endpoint's steady clock may be.
CLOCK_DRIFT_FACTOR = 1.02
# Time for a lapsed run to be gone once its lease is over.
LAPSE_MARGIN_MS = 80
# An endpoint that has not answered for this long gets no new runs: longer than an
# inventory with a wait, and one that was lost.
SUSPECT_AFTER_MS = 600


class EndpointLease:
    """The lease of one lifetime of an endpoint; ``reset`` begins with another."""

    def __init__(self, clock, length_ms):
        self._clock = clock
        self._length_ms = length_ms
        # The endpoint's clock less ours, None before its first answer.
        self._offset_ms = None
        self._answered_ms = clock.now_ms()
        self._renewed_ms = None

    @property
    def length_ms(self):
        """The longest lease that the endpoint grants."""
        return self._length_ms

    @property
    def is_suspect(self):
        """Whether the endpoint has been silent; its lease is not renewed then."""
        return self._clock.now_ms() - self._answered_ms > SUSPECT_AFTER_MS

    @property
    def renewal_expiry_ms(self):
        """The end of a full lease on the endpoint's clock, None while unknown."""
        if self._offset_ms is None or self.is_suspect:
            return None
        return self._clock.now_ms() + self._offset_ms + self._length_ms

    @property
    def is_expired(self):
        """Whether nothing can run any more under what was renewed last."""
        if self._renewed_ms is None:
            return False
        longest_ms = self._length_ms * CLOCK_DRIFT_FACTOR + LAPSE_MARGIN_MS
        return self._clock.now_ms() > self._renewed_ms + longest_ms

    def record_renewal(self):
        """Note that a renewal is sent which the endpoint may receive."""
        self._renewed_ms = self._clock.now_ms()

    def record_answer(self, clock_ms):
        """Take in the endpoint's clock from an answer; 0 where it names none."""
        if clock_ms:
            self._answered_ms = self._clock.now_ms()
            self._offset_ms = clock_ms - self._answered_ms

    def reset(self):
        """Forget the lease and the clock of a lifetime that is over."""
        self._offset_ms = None
        self._renewed_ms = None
