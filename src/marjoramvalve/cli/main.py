"""Entry point of the `marjoramvalve` command; each method of a command group is a command."""

import os
import sys
from pathlib import Path

import fire
import msgspec

from marjoramvalve.cli import exits
from marjoramvalve.cli.clients import ControlTarget, call, resolve_target
from marjoramvalve.cli.documents import DocumentCommands
from marjoramvalve.cli.outputs import body_or_exit, exit_with_error, format_table, print_json
from marjoramvalve.cli.reviews import print_review, read_tree, review_tree
from marjoramvalve.model import Document
from marjoramvalve.outcomes import Err
from marjoramvalve.settings import check_settings, load_settings


class _CommandGroup:
    """Base of the command groups; holds the options common to all commands."""

    def __init__(self, servers: str, credential_file: str, as_json: bool) -> None:
        self._servers = servers
        self._credential_file = credential_file
        self._as_json = as_json

    def _target(self) -> ControlTarget:
        target = resolve_target(self._servers, self._credential_file)
        if isinstance(target, str):
            exit_with_error(target, exits.USAGE)
        return target

    def _document_commands(self) -> DocumentCommands:
        return DocumentCommands(self._target(), self._as_json)


class CustomerCommands(_CommandGroup):
    """Commands on customers."""

    def set(self, name, rate, burst, weight=1.0, max_priority="high"):
        """Creates or changes a customer; `rate` is in calls per second, `burst` in calls."""
        item = {
            "rate": float(rate),
            "burst": float(burst),
            "weight": float(weight),
            "max_priority": max_priority,
        }
        self._document_commands().edit({"customers": {str(name): item}})

    def remove(self, name):
        """Removes a customer and its keys."""
        keys = self._document_commands().fetch_current()["document"]["keys"]
        removed_keys = {
            digest: None for digest, item in keys.items() if item["customer"] == str(name)
        }
        self._document_commands().edit({"customers": {str(name): None}, "keys": removed_keys})

    def list(self):
        """Lists the customers."""
        items = self._document_commands().fetch_current()["document"]["customers"]
        rows = [{"name": name, **item} for name, item in items.items()]
        print_json(items) if self._as_json else print(format_table(rows))


class KeyCommands(_CommandGroup):
    """Commands on customer keys."""

    def issue(self, customer, label=""):
        """Issues a key and prints it; it cannot be shown again."""
        self._document_commands().issue_key(str(customer), str(label))

    def withdraw(self, key):
        """Withdraws a key, given as the key itself, its digest or its label."""
        self._document_commands().withdraw_key(str(key))

    def list(self):
        """Lists the keys by digest."""
        items = self._document_commands().fetch_current()["document"]["keys"]
        rows = [{"digest": digest, **item} for digest, item in items.items()]
        print_json(items) if self._as_json else print(format_table(rows))


class RouteCommands(_CommandGroup):
    """Commands on routes."""

    def set(
        self,
        name,
        service,
        path,
        methods="",
        priority="normal",
        repeatable=True,
        open=False,  # noqa: A002
        deadline_ms=5000,
    ):
        """Creates or changes a route."""
        method_list = methods if isinstance(methods, (tuple, list)) else str(methods).split(",")
        item = {
            "service": service,
            "path": path,
            "methods": [method for method in method_list if method],
            "priority": priority,
            "repeatable": bool(repeatable),
            "open": bool(open),
            "deadline_ms": int(deadline_ms),
        }
        self._document_commands().edit({"routes": {str(name): item}})

    def remove(self, name):
        """Removes a route."""
        self._document_commands().edit({"routes": {str(name): None}})

    def list(self):
        """Lists the routes."""
        items = self._document_commands().fetch_current()["document"]["routes"]
        rows = [{"name": name, **item} for name, item in items.items()]
        print_json(items) if self._as_json else print(format_table(rows))


class ConfigCommands(_CommandGroup):
    """Commands on whole configuration documents."""

    def check(self, file, against=""):
        """Checks a document before it is sent: errors, entries without effect, contradictions.

        Also prints what differs from the version in force, or from the document in the file
        `against`. Exits with 0 if nothing is wrong and with 1 otherwise.
        """
        current = self._read_current(str(against))
        review = review_tree(read_tree(str(file)), current)
        print_review(review, self._as_json)
        raise SystemExit(review.exit_status)

    def _read_current(self, against: str) -> Document | None:
        if against:
            return msgspec.convert(read_tree(against), Document)
        target = resolve_target(self._servers, self._credential_file)
        if isinstance(target, str):
            return None  # No fleet is named to compare with.
        document = DocumentCommands(target, self._as_json).fetch_current()["document"]
        return msgspec.convert(document, Document)


class ControllerCommands(_CommandGroup):
    """Commands on the group of controllers."""

    def found(self, data_dir):
        """Marks an empty data folder as the first of a new group."""
        from marjoramvalve.controller import mark_new_group_folder

        try:
            mark_new_group_folder(Path(str(data_dir)))
        except OSError as exc:
            exit_with_error(f"data folder {str(data_dir)!r} cannot be marked: {exc}", exits.REFUSED)
        print(f"data folder {str(data_dir)!r} is marked for a new group")

    def _change_group(self, action, name, address=""):
        body = {"action": action, "name": str(name), "address": str(address)}
        result = body_or_exit(call(self._target(), "POST", "/v1/controllers", body))
        print_json(result) if self._as_json else print(f"{action} {name}: {result['verdict']}")

    def add(self, name, address):
        """Adds a controller as a learner; promote it once it has caught up."""
        self._change_group("add", name, address)

    def promote(self, name):
        """Promotes a learner that has caught up to a voter."""
        self._change_group("promote", name)

    def remove(self, name):
        """Removes a controller from the group."""
        self._change_group("remove", name)

    def replace(self, name):
        """Removes a controller whose data folder was lost or damaged, and prints the next steps."""
        self._change_group("remove", name)
        print("1. move the damaged data folder away and create an empty one")
        print(f"2. start the instance under a new name with --join yes (not as {name!r})")
        print("3. marjoramvalve controller add NEW-NAME HOST:PORT")
        print("4. marjoramvalve controller promote NEW-NAME   (refused until it has caught up)")


class Commands(_CommandGroup):
    """Operator commands. Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable, 4 unknown."""

    def __init__(self, servers="", credential_file="", json=False):
        super().__init__(servers, credential_file, bool(json))
        options = (servers, credential_file, bool(json))
        self.customer = CustomerCommands(*options)
        self.key = KeyCommands(*options)
        self.route = RouteCommands(*options)
        self.config = ConfigCommands(*options)
        self.controller = ControllerCommands(*options)

    def patch(self, file, base, id, kind="merge"):  # noqa: A002
        """Submits a patch from a file (`-` for standard input) against version `base`.

        Resending a patch under the same id returns the first verdict.
        """
        self._document_commands().patch(str(file), int(base), str(id), kind)

    def show(self, version=None):
        """Prints the current document, or that of a version in the history."""
        self._document_commands().show(None if version is None else int(version))

    def history(self):
        """Prints the versions in the history."""
        self._document_commands().history()

    def watch(self, count=0):
        """Prints each new version; stops after `count` versions, or never if it is 0."""
        self._document_commands().watch(int(count))

    def rate(self, customer, rate, burst):
        """Changes a customer's rate (calls per second) and burst (calls)."""
        item = {"rate": float(rate), "burst": float(burst)}
        self._document_commands().edit({"customers": {str(customer): item}})

    def status(self, server=""):
        """Prints the status reported by the first reachable instance, or by `server` if given."""
        target = self._target()
        if server:
            target = ControlTarget((str(server),), target.credential)
        body = body_or_exit(call(target, "GET", "/v1/status", leader_only=False))
        if self._as_json:
            print_json(body)
            return
        controller = body.get("controller")
        print(f"instance {body['instance']}  domain {body['domain']}  version {body['version']}")
        print(f"epoch {body['epoch']}  current {body['current']}  running {body['running']}")
        if controller:
            print(f"controller {controller['role']}, leader {controller['leader'] or '-'}")
        print(format_table(body["instances"]))
        print(format_table(body["owned"]))
        print(format_table(body["targets"]))

    def drain(self, upstream):
        """Drains an upstream, so that it gets no new calls, through the instance it reports to."""
        target = self._target()
        status = body_or_exit(call(target, "GET", "/v1/status", leader_only=False))
        for item in status["instances"]:
            if str(upstream) in item["upstreams"]:
                instance_target = ControlTarget((item["control"],), target.credential)
                body = body_or_exit(
                    call(instance_target, "POST", f"/v1/drain/{upstream}", leader_only=False)
                )
                print_json(body) if self._as_json else print(f"draining {upstream}")
                return
        exit_with_error(f"refused: upstream {str(upstream)!r} is not in the roster", exits.REFUSED)

    def explain(self, request_id):
        """Prints why a request was refused; asks every instance."""
        target = self._target()
        status = body_or_exit(call(target, "GET", "/v1/status", leader_only=False))
        for item in status["instances"]:
            instance_target = ControlTarget((item["control"],), target.credential)
            response = call(instance_target, "GET", f"/v1/explain/{request_id}", leader_only=False)
            if getattr(response, "status", 0) == 200:
                if self._as_json:
                    print_json(response.body)
                else:
                    rows = [{"name": name, "value": value} for name, value in response.body.items()]
                    print(format_table(rows))
                return
        exit_with_error(
            f"refused: no instance has a record of refusing {str(request_id)!r}", exits.REFUSED
        )

    def check(self, **flags):
        """Checks the settings of the daemon without starting it."""
        loaded = load_settings(flags, os.environ)
        faults = loaded.faults if isinstance(loaded, Err) else check_settings(loaded.value)
        for fault in faults:
            print(fault, file=sys.stderr)
        if faults:
            raise SystemExit(exits.USAGE)
        print("settings are valid")


JSON_FLAG = "--json"
FIRE_SEPARATOR = "%%"


def fire_arguments(argv: list[str]) -> list[str]:
    """Returns the arguments to pass to Fire.

    Moves `--json` to the front, so that it is accepted in any position. Replaces Fire's default
    separator, a single dash, because here it means standard input.
    """
    args = [item for item in argv if item != JSON_FLAG]
    if len(args) != len(argv):
        args.insert(0, f"{JSON_FLAG}=True")
    if "--" not in args:
        args.append("--")
    return [*args, f"--separator={FIRE_SEPARATOR}"]


def main() -> None:
    """Runs the `marjoramvalve` command."""
    fire.Fire(Commands, command=fire_arguments(sys.argv[1:]), name="marjoramvalve")
