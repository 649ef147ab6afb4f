"""Output of commands: tables, JSON and error messages."""

import sys
from typing import Any

import msgspec

from marjoramvalve.cli import exits
from marjoramvalve.cli.clients import ControlResponse, NoResponse

MIN_ERROR_STATUS = 400


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def format_table(rows: list[dict]) -> str:
    """Returns rows as a text table with aligned columns; the first row names the columns."""
    if not rows:
        return "(none)"
    columns = list(rows[0])
    cell_rows = [[_format_cell(row.get(column)) for column in columns] for row in rows]
    widths = [
        max(len(column), *(len(cells[index]) for cells in cell_rows))
        for index, column in enumerate(columns)
    ]
    lines = ["  ".join(column.ljust(width) for column, width in zip(columns, widths, strict=True))]
    lines += [
        "  ".join(cell.ljust(width) for cell, width in zip(cells, widths, strict=True)).rstrip()
        for cells in cell_rows
    ]
    return "\n".join(lines)


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, list):
        return ",".join(str(item) for item in value) or "-"
    return str(value)


def exit_with_error(message: str, status: int) -> None:
    """Prints an error message to standard error and exits with `status`."""
    print(message, file=sys.stderr)
    raise SystemExit(status)


def body_or_exit(response: ControlResponse | NoResponse) -> Any:
    """Returns the body of a successful response; otherwise prints the error and exits."""
    match response:
        case NoResponse(detail, outcome_unknown):
            status = exits.UNKNOWN_OUTCOME if outcome_unknown else exits.UNREACHABLE
            summary = (
                "outcome is unknown" if outcome_unknown else "no instance accepted the request"
            )
            exit_with_error(f"{summary}: {detail}", status)
        case ControlResponse(status, body) if status >= MIN_ERROR_STATUS:
            exit_with_error(_refusal_text(body), exits.REFUSED)
        case ControlResponse(_, body):
            return body


def _refusal_text(body: Any) -> str:
    if "faults" not in body:
        return f"refused: {body.get('error', body)}"
    lines = [f"refused: patch {body['patch_id']!r}; current version is {body['current']}"]
    return "\n".join(lines + [f"  {fault}" for fault in body["faults"]])
