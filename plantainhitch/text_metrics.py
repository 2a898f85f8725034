"""The Prometheus text format, written without its library.

Processes that have to stay small don't load the library.
"""


class TextMetrics:
    """Collects metrics under a prefix and renders them."""

    def __init__(self, prefix):
        self._prefix = prefix
        self._lines = []

    def gauge(self, name, value):
        """Add one value that goes up and down."""
        self._add(name, "gauge", ((None, None, value),))

    def counter(self, name, value):
        """Add one value that only grows."""
        self._add(name, "counter", ((None, None, value),))

    def gauges(self, name, label, values):
        """Add one gauge for each key of the mapping ``values``."""
        self._add(name, "gauge", ((label, *item) for item in sorted(values.items())))

    def counters(self, name, label, values):
        """Add one counter for each key of the mapping ``values``."""
        self._add(name, "counter", ((label, *item) for item in sorted(values.items())))

    def latencies(self, name, label, windows):
        """Add a summary for each key of a mapping to a ``LatencyWindow``."""
        full = self._prefix + name
        self._lines.append(f"# TYPE {full} summary")
        for key, window in sorted(windows.items()):
            for quantile, value in window.quantiles().items():
                labels = f'{label}="{_escaped(key)}",quantile="{quantile}"'
                self._lines.append(f"{full}{{{labels}}} {value}")
            for suffix, value in (("count", window.count), ("sum", window.sum_ms)):
                labels = f'{label}="{_escaped(key)}"'
                self._lines.append(f"{full}_{suffix}{{{labels}}} {value}")

    def render(self):
        """Return the text."""
        return "\n".join(self._lines) + "\n"

    def _add(self, name, kind, values):
        full = self._prefix + name
        self._lines.append(f"# TYPE {full} {kind}")
        for label, key, value in values:
            labels = f'{{{label}="{_escaped(key)}"}}' if label else ""
            self._lines.append(f"{full}{labels} {value}")


def _escaped(text):
    return str(text).replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
