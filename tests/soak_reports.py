"""Reports on a run of the fault injection soak test: a text summary and a plot over time."""

from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.soak import Soak

BIN_WIDTH_S = 0.5


def describe(run: "Soak") -> str:
    """Returns a summary line, followed by the faults and violations if the run failed."""
    served = sum(request.status == 200 for request in run.requests)
    refused = sum(request.status in (429, 503) for request in run.requests)
    lines = [
        f"seed {run.seed}: {len(run.requests)} asked, {served} served, {refused} refused, "
        f"{len(run.faults)} faults, {len(run.violations)} found"
    ]
    if run.violations:
        lines += [f"    {at:.2f} {text}" for at, text in run.faults]
        lines += [f"    found: {text}" for text in run.violations]
    return "\n".join(lines)


def plot(run: "Soak", folder: str) -> Path:
    """Plots requests sent and served per second, with faults marked; returns the file's path."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    def per_second(requests):
        counts: dict[int, int] = {}
        for request in requests:
            bin_index = int((request.sent_at - run.started_at) / BIN_WIDTH_S)
            counts[bin_index] = counts.get(bin_index, 0) + 1
        bins = range(max(counts, default=0) + 1)
        return [bin_index * BIN_WIDTH_S for bin_index in bins], [
            counts.get(bin_index, 0) / BIN_WIDTH_S for bin_index in bins
        ]

    figure, axes = pyplot.subplots(figsize=(12, 6))
    axes.plot(*per_second(run.requests), label="asked", color="0.7")
    axes.plot(
        *per_second([request for request in run.requests if request.status == 200]), label="served"
    )
    top = axes.get_ylim()[1]
    for at, text in run.faults:
        axes.axvline(at, color="tab:red", linewidth=0.6, alpha=0.6)
        axes.text(at, top, text, rotation=90, fontsize=6, va="top", color="tab:red")
    axes.set(xlabel="seconds", ylabel="calls a second", title=f"seed {run.seed}")
    axes.legend(loc="lower right")
    path = Path(folder) / f"soak-{run.seed}.png"
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
    return path
