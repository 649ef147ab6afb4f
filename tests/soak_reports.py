"""What a run of the fault soak looked like: text, and a plot of service over time."""

from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.soak import Soak

BIN_S = 0.5


def describe(run: "Soak") -> str:
    """Returns a line on the run, and its faults and findings where it failed."""
    served = sum(item.status == 200 for item in run.asked)
    refused = sum(item.status in (429, 503) for item in run.asked)
    lines = [
        f"seed {run.seed}: {len(run.asked)} asked, {served} served, {refused} refused, "
        f"{len(run.faults)} faults, {len(run.found)} found"
    ]
    if run.found:
        lines += [f"    {at:.2f} {text}" for at, text in run.faults]
        lines += [f"    found: {text}" for text in run.found]
    return "\n".join(lines)


def plot(run: "Soak", folder: str) -> Path:
    """Writes a plot of the calls asked and served, with the faults marked; returns its path."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    def per_second(items):
        counts: dict[int, int] = {}
        for item in items:
            bin_ = int((item.sent_at - run.began) / BIN_S)
            counts[bin_] = counts.get(bin_, 0) + 1
        bins = range(max(counts, default=0) + 1)
        return [bin_ * BIN_S for bin_ in bins], [counts.get(bin_, 0) / BIN_S for bin_ in bins]

    figure, axes = pyplot.subplots(figsize=(12, 6))
    axes.plot(*per_second(run.asked), label="asked", color="0.7")
    axes.plot(*per_second([item for item in run.asked if item.status == 200]), label="served")
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
