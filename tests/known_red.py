"""A nose2 plugin that lets the tests listed in KNOWN-RED.txt fail, and prints their outcomes.

An entry begins with `- tests.module.Class.test_name`. Tests that are not listed fail as usual.
"""

# ruff: noqa: N802, N815 -- nose2 defines the names of hooks and options.

import re
from pathlib import Path

from nose2.events import Plugin

LIST_FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
ENTRY_PATTERN = re.compile(r"^- (tests\.[\w.]+)", re.MULTILINE)


def parse_listed_tests(text: str) -> frozenset[str]:
    """Returns the tests named in a list of known failures."""
    return frozenset(ENTRY_PATTERN.findall(text))


class KnownRed(Plugin):
    """Reports failures of listed tests as expected."""

    alwaysOn = True
    configSection = "known-red"

    def __init__(self) -> None:
        self._listed = parse_listed_tests(LIST_FILE.read_text())
        self._outcomes: dict[str, str] = {}

    def setTestOutcome(self, event) -> None:
        """Marks the failure or error of a listed test as expected."""
        name = event.test.id()
        if name not in self._listed:
            return
        failed = event.outcome in ("failed", "error")
        self._outcomes[name] = "failed" if failed else "passed: take it off KNOWN-RED.txt"
        if failed:
            event.outcome = "expectedFailure"
            event.expected = True

    def afterSummaryReport(self, event) -> None:
        """Prints the outcome of each listed test that ran."""
        for name, outcome in sorted(self._outcomes.items()):
            event.stream.writeln(f"known red: {name}: {outcome}")
