"""Latencies of the last minutes, in HDR histograms."""

from hdrh.histogram import HdrHistogram

WINDOW_MS = 60_000
MAX_LATENCY_MS = 60 * 60 * 1_000
SIGNIFICANT_DIGITS = 2
# Recording in a histogram is slow, so equal latencies are counted first.
MAX_PENDING_VALUES = 2_000
QUANTILES = (0.5, 0.9, 0.99, 0.999)


class LatencyWindow:
    """Latencies of the last one to two windows, and their count and sum in all."""

    def __init__(self, clock):
        self._clock = clock
        self._newest = _new_histogram()
        self._older = None
        self._turned_ms = clock.now_ms()
        self._count = 0
        self._sum_ms = 0
        # Latencies not yet in the histogram, with how often each one came.
        self._pending = {}

    @property
    def count(self):
        """How many latencies were recorded since the process began."""
        return self._count

    @property
    def sum_ms(self):
        """Their sum."""
        return self._sum_ms

    def record(self, latency_ms):
        """Record one latency in ms."""
        self._turn()
        self._count += 1
        self._sum_ms += latency_ms
        value = min(max(1, round(latency_ms)), MAX_LATENCY_MS)
        self._pending[value] = self._pending.get(value, 0) + 1
        if len(self._pending) > MAX_PENDING_VALUES:
            self._flush()

    def quantiles(self):
        """Return the latency in ms at each of ``QUANTILES``, by quantile."""
        self._turn()
        self._flush()
        merged = _new_histogram()
        for histogram in (self._older, self._newest):
            if histogram is not None and histogram.get_total_count():
                merged.add(histogram)
        return {
            quantile: merged.get_value_at_percentile(quantile * 100)
            for quantile in QUANTILES
        }

    def _flush(self):
        """Put the pending latencies into the histogram, equal ones in one step."""
        for value, count in self._pending.items():
            self._newest.record_value(value, count)
        self._pending.clear()

    def _turn(self):
        age_ms = self._clock.now_ms() - self._turned_ms
        if age_ms < WINDOW_MS:
            return
        self._flush()
        self._older = self._newest if age_ms < 2 * WINDOW_MS else None
        self._newest = _new_histogram()
        self._turned_ms += age_ms - age_ms % WINDOW_MS


def _new_histogram():
    return HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
