"""Write plots and tables of benchmark results as one HTML page in ``build/``.

``make report`` first simulates response/ideal by load for some policies, then reads
the scenario results saved by ``make bench``. A scenario without saved results is
listed as not run.
"""

import base64
import html
import io
import json
import sys

import matplotlib

from plantainhitch.loadgen import workloads

from . import decisions, policies
from .bench import SCENARIOS
from .measures import RESULTS_DIR
from .product_policy import WaitingStarts

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 (the backend is chosen first)

PAGE_PATH = RESULTS_DIR.parent.parent / "build" / "report.html"
LOADS = (0.3, 0.5, 0.6, 0.7, 0.8, 0.9)
SEEDS = (1, 2)
DURATION_S = 30
FLOODS = ("flood_least", "flood_most")


def response_against_load(mix):
    """Return a plot of simulated response/ideal by load, for some policies."""
    factories = {
        "product": lambda seed: WaitingStarts(mix, seed),
        "least outstanding, speeds": lambda seed: policies.LeastOutstanding(
            "fresh", True, seed
        ),
        "two probes, late binding": policies.LateBinding,
        "perfect knowledge": policies.PerfectKnowledge,
    }
    decisions.DURATION_S = DURATION_S
    figure, axes = pyplot.subplots(1, 2, figsize=(11, 4))
    for label, make in factories.items():
        rows = [decisions.compare(mix, load, [make], SEEDS)[0] for load in LOADS]
        axes[0].plot(LOADS, [row.p50 for row in rows], marker="o", label=label)
        axes[1].plot(LOADS, [row.p99 for row in rows], marker="o", label=label)
    for axis, name in zip(axes, ("p50", "p99"), strict=True):
        axis.set(xlabel="load", ylabel=f"response/ideal {name}", yscale="log")
        axis.set_title(f"{mix.name}: {name}")
        axis.grid(alpha=0.3)
    axes[0].legend()
    return figure


def flood_over_time(scenario):
    """Return a plot of each class's share of the fleet by second.

    Returns None if no series is saved for the scenario.
    """
    saved = _load_result(scenario)
    if not saved or "series" not in saved:
        return None
    seconds = saved["series"]["by_second"]
    names = sorted({name for second in seconds for name in second})
    figure, axis = pyplot.subplots(figsize=(8, 4))
    parts = [[second.get(name, 0.0) for second in seconds] for name in names]
    axis.stackplot(range(len(seconds)), parts, labels=names, step="post")
    axis.set(xlabel="s", ylabel="part of the fleet", title=scenario, ylim=(0, 1.05))
    axis.legend(loc="upper left")
    return figure


def scenario_table(name):
    """Return the saved figures of a scenario as an HTML table."""
    saved = _load_result(name)
    if not saved:
        return f"<h3>{name}</h3><p>not run</p>"
    columns = ("measure", "target", "median", "runs", "verdict")
    rows = "".join(
        "<tr>" + "".join(f"<td>{_cell_text(row[column])}</td>" for column in columns)
        for row in saved["figures"]
    )
    head = "".join(f"<th>{column}</th>" for column in columns)
    return f"<h3>{name}</h3><table><tr>{head}</tr>{rows}</table>"


def main():
    """Write the page; return the exit code."""
    figures = [response_against_load(mix) for mix in workloads.MIXES.values()]
    figures += [flood_over_time(name) for name in FLOODS]
    images = [_image_tag(figure) for figure in figures if figure is not None]
    tables = [scenario_table(name) for name in SCENARIOS]
    style = "td,th{padding:2px 8px;text-align:left;border-bottom:1px solid #ccc}"
    PAGE_PATH.parent.mkdir(exist_ok=True)
    PAGE_PATH.write_text(
        "<!doctype html><meta charset=utf-8><title>plantainhitch: measurements</title>"
        f"<style>body{{font-family:sans-serif}}{style}</style>"
        "<h1>plantainhitch: measurements</h1>" + "".join(images + tables)
    )
    print(PAGE_PATH)
    return 0


def _load_result(scenario):
    path = RESULTS_DIR / f"{scenario}.json"
    return json.loads(path.read_text()) if path.exists() else None


def _cell_text(value):
    if isinstance(value, list):
        return html.escape(", ".join(f"{item:.4g}" for item in value))
    return "" if value is None else html.escape(str(value))


def _image_tag(figure):
    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=90, bbox_inches="tight")
    pyplot.close(figure)
    encoded = base64.b64encode(data.getvalue()).decode()
    return f'<p><img src="data:image/png;base64,{encoded}">'


if __name__ == "__main__":
    sys.exit(main())
