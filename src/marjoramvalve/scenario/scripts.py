"""Parser of the scenario language, which has one statement per line:

load 0.7 of capacity            offered load, as a share of what the slots can serve
at 5s load 3 of capacity        changes the offered load
at 5s clients retry hard        or: clients retry politely
at 5s customer shed-3 sends 5x
at 5s service ledger slows 10x  or: upstream ledger/1 slows 10x
at 5s upstream ledger/1 fails   answers 500 at once; `works` ends it
at 5s upstream ledger/1 crashes and restarts after 2s
at 5s service ledger restarts cold
at 5s upstream ledger/1 drains
at 5s instance n03 is killed    and, later: instance n03 restarts
at 5s instance n03 stops
at 5s rack n03 is lost          the instance and its upstream
at 5s cut domain amman from zarqa     or: cut instance n00 from all; later: heal
at 5s withdraw key shed-3
at 5s customer shed-3 sends poison
at 5s patch rate of shed-3 to 50 burst 80
rates 1.5 x share               customers' rates, as multiples of their capacity shares
    run 30s
expect goodput >= 0.9 from 5s to 20s
expect recovery <= 5s after 20s
expect worst customer >= 0.95 from 5s to 20s
expect success of high >= 0.99 from 5s to 20s
expect wrongful refusals <= 0
expect runs of each order <= 1
"""

from dataclasses import dataclass

from lark import Lark, Transformer, UnexpectedInput
from lark.exceptions import VisitError

GRAMMAR = r"""
start: line*
line: load | at | run | expect | rates
rates: "rates" NUMBER "x" "share"
load: "load" NUMBER "of" "capacity"
at: "at" time action
run: "run" time
?action: load -> set_load
    | "clients" "retry" MANNER -> clients
    | "customer" NAME "sends" NUMBER "x" -> customer_factor
    | "customer" NAME "sends" "poison" -> poison
    | KIND NAME "slows" NUMBER "x" -> slows
    | KIND NAME STATE -> state
    | "upstream" NAME "crashes" "and" "restarts" "after" time -> crashes
    | "service" NAME "restarts" "cold" -> cold
    | "upstream" NAME "drains" -> drains
    | "instance" NAME "is" "killed" -> killed
    | "instance" NAME "restarts" -> restarts
    | "instance" NAME "stops" -> stops
    | "rack" NAME "is" "lost" -> rack
    | "cut" "domain" NAME "from" NAME -> cut_domains
    | "cut" "instance" NAME "from" "all" -> cut_instance
    | "heal" -> heal
    | "withdraw" "key" NAME -> withdraw
    | "patch" "rate" "of" NAME "to" NUMBER "burst" NUMBER -> patch_rate
expect: "expect" measure COMPARE NUMBER "s"? window?
measure: "goodput" -> goodput
    | "recovery" -> recovery
    | "worst" "customer" -> worst
    | "success" "of" PRIORITY -> success
    | "wrongful" "refusals" -> wrongful
    | "runs" "of" "each" "order" -> runs
window: "from" time "to" time -> between
    | "after" time -> after
time: NUMBER "s"
MANNER: "hard" | "politely"
STATE: "fails" | "works"
KIND: "service" | "upstream"
PRIORITY: "high" | "normal" | "low"
COMPARE: ">=" | "<="
NAME: /[a-z][a-z0-9\/-]*/
NUMBER: /\d+(\.\d+)?/
COMMENT: /#[^\n]*/
%import common.WS
%ignore WS
%ignore COMMENT
"""


@dataclass(frozen=True, slots=True)
class Action:
    """An action of a scenario, with its kind and arguments."""

    kind: str
    args: tuple = ()


@dataclass(frozen=True, slots=True)
class Step:
    """An action at a time, in seconds since the start of the run."""

    at: float
    action: Action


@dataclass(frozen=True, slots=True)
class Expectation:
    """A required minimum or maximum of a metric over a time window, in seconds."""

    measure: str
    argument: str
    at_least: bool
    value: float
    begin: float
    end: float

    def is_met_by(self, actual: float) -> bool:
        """Returns whether a measured value meets the expectation."""
        return actual >= self.value if self.at_least else actual <= self.value


@dataclass(frozen=True, slots=True)
class Script:
    """A parsed scenario. `load` is a share of the capacity.

    `rate_factor` gives customers' rates as multiples of their shares of the capacity.
    """

    load: float
    steps: tuple[Step, ...]
    duration_s: float
    expectations: tuple[Expectation, ...]
    rate_factor: float = 4.0


@dataclass(frozen=True, slots=True)
class ScriptError:
    """A syntax error in a scenario; line and column are 0 if unknown."""

    line: int
    column: int
    message: str


class _ScriptBuilder(Transformer):
    """Builds the data classes of a script from the parse tree."""

    NUMBER = float
    NAME = MANNER = STATE = KIND = PRIORITY = COMPARE = str

    def time(self, items):
        return items[0]

    def line(self, items):
        return items[0]

    def load(self, items):
        return Action("load", (items[0],))

    def set_load(self, items):
        return items[0]

    def rates(self, items):
        return Action("rates", (items[0],))

    def at(self, items):
        return Step(*items)

    def run(self, items):
        return Action("run", (items[0],))

    def between(self, items):
        return tuple(items)

    def after(self, items):
        return (items[0], float("inf"))

    def expect(self, items):
        measure, compare, value, *window = items
        begin, end = window[0] if window else (0.0, float("inf"))
        return Expectation(measure.kind, "".join(measure.args), compare == ">=", value, begin, end)

    def start(self, items):
        settings = {item.kind: item.args[0] for item in items if isinstance(item, Action)}
        steps = sorted((item for item in items if isinstance(item, Step)), key=lambda s: s.at)
        expected = tuple(item for item in items if isinstance(item, Expectation))
        return Script(
            settings["load"], tuple(steps), settings["run"], expected, settings.get("rates", 4.0)
        )

    def __default__(self, data, children, meta):
        return Action(str(data), tuple(children))


_PARSER = Lark(GRAMMAR, parser="earley", maybe_placeholders=False)


def parse_script(text: str) -> Script | ScriptError:
    """Parses a scenario; returns a ScriptError if the text is not valid."""
    try:
        return _ScriptBuilder().transform(_PARSER.parse(text))
    except UnexpectedInput as exc:
        line = getattr(exc, "line", 0) or 0
        column = getattr(exc, "column", 0) or 0
        return ScriptError(line, column, str(exc).splitlines()[0])
    except (VisitError, KeyError) as exc:
        return ScriptError(0, 0, f"scenario needs a first load and a run: {exc}")
