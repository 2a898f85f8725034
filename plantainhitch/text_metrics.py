"""A writer of the Prometheus text format that doesn't need the Prometheus library.

It is for processes whose memory has to stay small.
"""


class TextMetrics:
    """Collects metrics under a prefix and renders them."""

    def __init__(self, prefix):
        self._prefix = prefix
        self._lines = []

    def gauge(self, name, value):
        """Add a gauge without labels."""
        self._add(name, "gauge", ((None, None, value),))

    def counter(self, name, value):
        """Add a counter without labels."""
        self._add(name, "counter", ((None, None, value),))

    def gauges(self, name, label, values):
        """Add a gauge with one sample for each key of the mapping ``values``."""
        self._add(name, "gauge", ((label, *item) for item in sorted(values.items())))

    def counters(self, name, label, values):
        """Add a counter with one sample for each key of the mapping ``values``."""
        self._add(name, "counter", ((label, *item) for item in sorted(values.items())))

    def multi_counters(self, name, labels, values):
        """Add a counter with one sample for each key, a tuple of label values."""
        full_name = self._prefix + name
        self._lines.append(f"# TYPE {full_name} counter")
        for key, value in sorted(values.items()):
            pairs = (
                f'{label}="{_escape(part)}"'
                for label, part in zip(labels, key, strict=True)
            )
            self._lines.append(f"{full_name}{{{','.join(pairs)}}} {value}")

    def latencies(self, name, label, windows):
        """Add a summary; ``windows`` maps label values to a ``LatencyWindow`` each."""
        full_name = self._prefix + name
        self._lines.append(f"# TYPE {full_name} summary")
        for key, window in sorted(windows.items()):
            for quantile, value in window.quantiles().items():
                labels = f'{label}="{_escape(key)}",quantile="{quantile}"'
                self._lines.append(f"{full_name}{{{labels}}} {value}")
            for suffix, value in (("count", window.count), ("sum", window.sum_ms)):
                labels = f'{label}="{_escape(key)}"'
                self._lines.append(f"{full_name}_{suffix}{{{labels}}} {value}")

    def render(self):
        """Return all metrics that were added, as text."""
        return "\n".join(self._lines) + "\n"

    def _add(self, name, kind, values):
        full_name = self._prefix + name
        self._lines.append(f"# TYPE {full_name} {kind}")
        for label, key, value in values:
            labels = f'{{{label}="{_escape(key)}"}}' if label else ""
            self._lines.append(f"{full_name}{labels} {value}")


def _escape(text):
    return str(text).replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
