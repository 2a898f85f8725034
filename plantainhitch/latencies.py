"""Quantiles of recent latencies, from HDR histograms."""

from hdrh.histogram import HdrHistogram

WINDOW_MS = 60_000
MAX_LATENCY_MS = 60 * 60 * 1_000
SIGNIFICANT_DIGITS = 2
# Recording in a histogram is slow, so equal latencies are first counted together, up
# to this number of different values.
MAX_PENDING_VALUES = 2_000
QUANTILES = (0.5, 0.9, 0.99, 0.999)


class LatencyWindow:
    """Latencies of the last one to two windows, and the count and sum of all.

    A window is ``WINDOW_MS`` long. Recorded values are limited to 1 ms to
    ``MAX_LATENCY_MS`` in the histograms, but not in the sum.
    """

    def __init__(self, clock):
        self._clock = clock
        self._current = _new_histogram()
        self._previous = None
        self._window_start_ms = clock.now_ms()
        self._count = 0
        self._sum_ms = 0
        # Number of occurrences of each latency (ms) that is not yet in the histogram.
        self._pending = {}

    @property
    def count(self):
        """The number of latencies recorded since the window was created."""
        return self._count

    @property
    def sum_ms(self):
        """The sum in ms of all these latencies."""
        return self._sum_ms

    def record(self, latency_ms):
        """Record one latency in ms."""
        self._rotate()
        self._count += 1
        self._sum_ms += latency_ms
        value = min(max(1, round(latency_ms)), MAX_LATENCY_MS)
        self._pending[value] = self._pending.get(value, 0) + 1
        if len(self._pending) > MAX_PENDING_VALUES:
            self._flush()

    def quantiles(self):
        """Return a dict from each of ``QUANTILES`` to the latency in ms there."""
        self._rotate()
        self._flush()
        merged = _new_histogram()
        for histogram in (self._previous, self._current):
            if histogram is not None and histogram.get_total_count():
                merged.add(histogram)
        return {
            quantile: merged.get_value_at_percentile(quantile * 100)
            for quantile in QUANTILES
        }

    def _flush(self):
        """Record the pending latencies in the histogram, equal ones in one step."""
        for value, count in self._pending.items():
            self._current.record_value(value, count)
        self._pending.clear()

    def _rotate(self):
        """Start a new window if the current one is ``WINDOW_MS`` old."""
        age_ms = self._clock.now_ms() - self._window_start_ms
        if age_ms < WINDOW_MS:
            return
        self._flush()
        self._previous = self._current if age_ms < 2 * WINDOW_MS else None
        self._current = _new_histogram()
        self._window_start_ms += age_ms - age_ms % WINDOW_MS


def _new_histogram():
    return HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
