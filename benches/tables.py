"""Turns the JSON of the scenario bench into the table of docs/MEASUREMENTS.md."""

import json
from pathlib import Path

import fire

NAMES = ("goodput", "recovery", "worst", "success high", "wrongful", "runs")


def cell(row: dict, name: str) -> str:
    """Returns the figure of a measure, marked where its target was missed."""
    for label, figure in row["figures"].items():
        if label.startswith(name):
            missed = any(item.startswith(label) for item in row["missed"])
            shown = "never" if figure == float("inf") else f"{figure:g}"
            return f"**{shown}**" if missed else shown
    return ""


def main(file: str) -> None:
    """Prints the table; figures that missed their target stand in bold."""
    rows = json.loads(Path(file).read_text())
    print("| scenario | deployment | control | " + " | ".join(NAMES) + " | lines broken |")
    print("| --- " * (len(NAMES) + 4) + "|")
    for row in rows:
        cells = [cell(row, name) for name in NAMES]
        broken = "; ".join(sorted({text.partition(":")[0] for text in row["broken"]}))
        head = [row["scenario"], row["deployment"], row["control"]]
        print("| " + " | ".join([*head, *cells, broken]) + " |")


if __name__ == "__main__":
    fire.Fire(main)
