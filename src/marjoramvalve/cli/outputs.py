"""Output for people and for programs."""

import sys
from typing import Any

import msgspec

from marjoramvalve.cli import exits
from marjoramvalve.cli.clients import Reply, Unreachable

CLIENT_ERROR = 400


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def table(rows: list[dict]) -> str:
    """Returns rows as a table with aligned columns."""
    if not rows:
        return "(none)"
    names = list(rows[0])
    cells = [[_cell(row.get(name)) for name in names] for row in rows]
    widths = [max(len(name), *(len(line[at]) for line in cells)) for at, name in enumerate(names)]
    lines = ["  ".join(name.ljust(width) for name, width in zip(names, widths, strict=True))]
    lines += [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in cells
    ]
    return "\n".join(lines)


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, list):
        return ",".join(str(item) for item in value) or "-"
    return str(value)


def fail(text: str, status: int) -> None:
    """Prints a failure and exits."""
    print(text, file=sys.stderr)
    raise SystemExit(status)


def require(reply: Reply | Unreachable) -> Any:
    """Returns the body of a good answer; prints why not and exits otherwise."""
    match reply:
        case Unreachable(detail, maybe_done):
            status = exits.UNKNOWN_OUTCOME if maybe_done else exits.UNREACHABLE
            what = "outcome is not known" if maybe_done else "no instance answers"
            fail(f"{what}: {detail}", status)
        case Reply(status, body) if status >= CLIENT_ERROR:
            fail(_explain(body), exits.REFUSED)
        case Reply(_, body):
            return body


def _explain(body: Any) -> str:
    if "faults" not in body:
        return f"refused: {body.get('error', body)}"
    lines = [f"refused: patch {body['patch_id']!r}; current version is {body['current']}"]
    return "\n".join(lines + [f"  {fault}" for fault in body["faults"]])
