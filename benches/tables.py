"""Formats the JSON of the scenario bench as the Markdown table in docs/MEASUREMENTS.md."""

import json
from pathlib import Path

import fire

MEASURES = ("goodput", "recovery", "worst", "success high", "wrongful", "runs")


def format_cell(row: dict, name: str) -> str:
    """Returns the figure of a measure, in bold if it missed its target; empty if there is none."""
    for label, figure in row["figures"].items():
        if label.startswith(name):
            missed = any(item.startswith(label) for item in row["missed"])
            text = "never" if figure == float("inf") else f"{figure:g}"
            return f"**{text}**" if missed else text
    return ""


def main(file: str) -> None:
    """Prints the table; figures that missed their target are in bold."""
    rows = json.loads(Path(file).read_text())
    print("| scenario | deployment | control | " + " | ".join(MEASURES) + " | lines broken |")
    print("| --- " * (len(MEASURES) + 4) + "|")
    for row in rows:
        cells = [format_cell(row, name) for name in MEASURES]
        broken = "; ".join(sorted({text.partition(":")[0] for text in row["broken"]}))
        head = [row["scenario"], row["deployment"], row["control"]]
        print("| " + " | ".join([*head, *cells, broken]) + " |")


if __name__ == "__main__":
    fire.Fire(main)
