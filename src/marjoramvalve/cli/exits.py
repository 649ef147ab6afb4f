"""Exit codes of the command-line interface."""

OK = 0
REFUSED = 1
USAGE = 2
UNREACHABLE = 3
UNKNOWN_OUTCOME = 4
