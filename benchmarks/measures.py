"""Measures of scenarios: targets, figures over the runs, verdicts, result files."""

import json
import statistics
from dataclasses import dataclass
from pathlib import Path

RESULTS_DIR = Path(__file__).resolve().parent / "results"


@dataclass(frozen=True, slots=True)
class Measure:
    """A named measure of a scenario.

    ``target`` is an upper bound if ``at_most``, else a lower bound. A measure without
    a target is only reported.
    """

    name: str
    target: float | None = None
    at_most: bool = True

    def verdict(self, value):
        """Return ``met`` or ``missed``, or an empty string without a target."""
        if self.target is None:
            return ""
        met = value <= self.target if self.at_most else value >= self.target
        return "met" if met else "missed"


@dataclass(frozen=True, slots=True)
class Figure:
    """A measure's values over the runs and their median."""

    measure: Measure
    values: tuple[float, ...]

    @property
    def median(self):
        """The median over the runs."""
        return statistics.median(self.values)

    def to_dict(self):
        """Return the figure as a dict of JSON types."""
        return {
            "measure": self.measure.name,
            "target": self.measure.target,
            "median": round(self.median, 4),
            "runs": [round(value, 4) for value in self.values],
            "verdict": self.measure.verdict(self.median),
        }


def gather(measures, runs):
    """Return a ``Figure`` for each measure; each run is a dict of values by name."""
    return [
        Figure(measure, tuple(float(run[measure.name]) for run in runs))
        for measure in measures
    ]


def format_table(scenario, figures):
    """Return the figures as a Markdown table under a heading."""
    lines = [f"## {scenario}", "", "| measure | target | median | runs | verdict |"]
    lines.append("| --- | --- | --- | --- | --- |")
    for figure in figures:
        target = figure.measure.target
        sign = "" if target is None else ("<= " if figure.measure.at_most else ">= ")
        runs = ", ".join(f"{value:.4g}" for value in figure.values)
        verdict = figure.measure.verdict(figure.median)
        lines.append(
            f"| {figure.measure.name} | {sign}{'' if target is None else target} "
            f"| {figure.median:.4g} | {runs} | {verdict} |"
        )
    return "\n".join(lines)


def save_figures(scenario, figures, series=None):
    """Write the figures and the series, if any, to the results folder as JSON."""
    RESULTS_DIR.mkdir(exist_ok=True)
    data = {"scenario": scenario, "figures": [figure.to_dict() for figure in figures]}
    if series:
        data["series"] = series
    (RESULTS_DIR / f"{scenario}.json").write_text(json.dumps(data, indent=1) + "\n")
