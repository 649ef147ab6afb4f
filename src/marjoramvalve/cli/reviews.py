"""Check of a configuration document before it is sent."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from marjoramvalve.cli import exits
from marjoramvalve.cli.outputs import exit_with_error, print_json
from marjoramvalve.model import (
    Difference,
    Document,
    compare_documents,
    review_document,
    validate_document,
)
from marjoramvalve.outcomes import Err, Fault, Ok


@dataclass(frozen=True, slots=True)
class Review:
    """What was found in a document.

    `errors` would have it refused, `warnings` are entries without effect and contradictions, and
    `differences` are those from the version in force, None if that is not known.
    """

    errors: tuple[Fault, ...] = ()
    warnings: tuple[Fault, ...] = ()
    differences: tuple[Difference, ...] | None = None

    @property
    def exit_status(self) -> int:
        """Returns 0 for a document without errors and warnings."""
        return exits.REFUSED if self.errors or self.warnings else exits.OK


def review_tree(tree: Any, current: Document | None) -> Review:
    """Reviews a decoded document, and compares it with the current one if that is known."""
    match validate_document(tree):
        case Err(faults):
            return Review(faults)
        case Ok(doc):
            differences = None if current is None else tuple(compare_documents(current, doc))
            return Review((), tuple(review_document(doc)), differences)


def read_tree(file: str) -> Any:
    """Returns the JSON in a file; exits with an error if there is none."""
    try:
        return msgspec.json.decode(Path(file).read_bytes())
    except OSError as exc:
        exit_with_error(f"document {file!r} is not readable: {exc}", exits.USAGE)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        exit_with_error(f"document {file!r} is not JSON: {exc}", exits.REFUSED)


def print_review(review: Review, as_json: bool) -> None:
    """Prints a line for each finding, with its path and the reason, or all of them as JSON."""
    if as_json:
        print_json(msgspec.to_builtins(review))
        return
    for kind, faults in (("error", review.errors), ("warning", review.warnings)):
        for fault in faults:
            print(f"{kind}: {fault}")
    for difference in review.differences or ():
        print(f"changes: {difference}")
    if not review.errors and not review.warnings:
        print("document is valid")
