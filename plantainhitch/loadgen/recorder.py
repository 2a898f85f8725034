"""Results of a run: histograms of response times and their ratios to the ideal."""

import enum
from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

LONGEST_RESPONSE_US = 3_600_000_000
LARGEST_RATIO_MILLIS = 1_000_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)


class Ending(enum.StrEnum):
    """The end of a job or a request, as seen by its caller."""

    COMPLETE = "complete"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    UNANSWERED = "unanswered"


@dataclass(frozen=True, slots=True)
class JobRecord:
    """The result of one job; ``due_ms`` is counted from the start of the run."""

    class_name: str
    due_ms: float
    response_ms: float
    ideal_ms: float
    ending: Ending
    tasks: int = 1
    work_ms: float = 0.0

    @property
    def ratio(self):
        """The response time divided by the ideal response time."""
        return self.response_ms / self.ideal_ms


@dataclass(slots=True)
class ClassRecord:
    """Counts and histograms of one class; the histograms hold complete jobs only.

    Responses are recorded in us, ratios in thousandths. A ``target_ms`` of 0 stands
    for no target.
    """

    target_ms: int = 0
    endings: Counter = field(default_factory=Counter)
    on_target: int = 0
    tasks: int = 0
    responses: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, LONGEST_RESPONSE_US, SIGNIFICANT_DIGITS)
    )
    ratios: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            1, LARGEST_RATIO_MILLIS, SIGNIFICANT_DIGITS
        )
    )

    def add(self, record):
        """Count one job."""
        self.endings[record.ending] += 1
        self.tasks += record.tasks
        if record.ending is not Ending.COMPLETE:
            return
        self.responses.record_value(max(1, round(record.response_ms * 1000)))
        self.ratios.record_value(max(1, round(record.ratio * 1000)))
        if not self.target_ms or record.response_ms <= self.target_ms:
            self.on_target += 1

    @property
    def jobs(self):
        """The number of jobs recorded, whatever their ending."""
        return sum(self.endings.values())

    @property
    def attainment(self):
        """The share of all jobs that ended complete within the class's target."""
        return self.on_target / self.jobs if self.jobs else 1.0

    def to_dict(self):
        """Return the figures as plain values, for JSON."""
        return {
            "jobs": self.jobs,
            "tasks": self.tasks,
            "endings": {ending.value: self.endings[ending] for ending in self.endings},
            "attainment": round(self.attainment, 4),
            "response_ms": _percentiles(self.responses),
            "response_to_ideal": _percentiles(self.ratios),
        }


class Recorder:
    """Collects job records by class and over all classes.

    ``targets_ms`` holds the target response times in ms by class name.
    """

    def __init__(self, targets_ms=None):
        self._targets_ms = targets_ms or {}
        self._classes = {}
        self._total = ClassRecord()
        self._records = []

    @property
    def records(self):
        """All records, in the order they were added."""
        return self._records

    @property
    def total(self):
        """The record over all classes."""
        return self._total

    def class_record(self, class_name):
        """Return the record of one class, an empty one if it had no jobs."""
        if class_name not in self._classes:
            target_ms = self._targets_ms.get(class_name, 0)
            self._classes[class_name] = ClassRecord(target_ms)
        return self._classes[class_name]

    def add(self, record):
        """Count a ``JobRecord``."""
        self._records.append(record)
        self._total.add(record)
        self.class_record(record.class_name).add(record)

    def to_dict(self):
        """Return the figures of all classes as plain values, for JSON."""
        return {
            "all": self._total.to_dict(),
            "classes": {
                name: self._classes[name].to_dict() for name in sorted(self._classes)
            },
        }


def _percentiles(histogram):
    """Return percentiles and maximum of a histogram, divided by 1,000."""
    if not histogram.get_total_count():
        return {}
    figures = {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    }
    figures["max"] = histogram.get_max_value() / 1000
    return figures
