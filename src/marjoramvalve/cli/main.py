"""Entry point of `marjoramvalve`: commands, thin over the library."""

import os
import sys
from pathlib import Path

import fire

from marjoramvalve.cli import exits
from marjoramvalve.cli.clients import Target, call, target_from
from marjoramvalve.cli.documents import Documents
from marjoramvalve.cli.outputs import fail, print_json, require, table
from marjoramvalve.outcomes import Err
from marjoramvalve.settings import check_settings, load_settings


class _Base:
    """Options that all commands share."""

    def __init__(self, servers: str, credential_file: str, as_json: bool) -> None:
        self._servers = servers
        self._credential_file = credential_file
        self._json = as_json

    def _target(self) -> Target:
        target = target_from(self._servers, self._credential_file)
        if isinstance(target, str):
            fail(target, exits.USAGE)
        return target

    def _documents(self) -> Documents:
        return Documents(self._target(), self._json)


class CustomerCommands(_Base):
    """Customers."""

    def set(self, name, rate, burst, weight=1.0, max_priority="high"):
        """Creates or changes a customer: rate in calls a second, burst in calls."""
        item = {
            "rate": float(rate),
            "burst": float(burst),
            "weight": float(weight),
            "max_priority": max_priority,
        }
        self._documents().edit({"customers": {str(name): item}})

    def remove(self, name):
        """Removes a customer and its keys."""
        keys = self._documents().current()["document"]["keys"]
        gone = {digest: None for digest, item in keys.items() if item["customer"] == str(name)}
        self._documents().edit({"customers": {str(name): None}, "keys": gone})

    def list(self):
        """Lists the customers."""
        found = self._documents().current()["document"]["customers"]
        rows = [{"name": name, **item} for name, item in found.items()]
        print_json(found) if self._json else print(table(rows))


class KeyCommands(_Base):
    """Keys of customers."""

    def issue(self, customer, label=""):
        """Issues a key; it is shown once."""
        self._documents().issue_key(str(customer), str(label))

    def withdraw(self, key):
        """Withdraws a key, named by itself, its digest or its label."""
        self._documents().withdraw_key(str(key))

    def list(self):
        """Lists the digests of keys."""
        found = self._documents().current()["document"]["keys"]
        rows = [{"digest": digest, **item} for digest, item in found.items()]
        print_json(found) if self._json else print(table(rows))


class RouteCommands(_Base):
    """Routes."""

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
        listed = methods if isinstance(methods, (tuple, list)) else str(methods).split(",")
        item = {
            "service": service,
            "path": path,
            "methods": [method for method in listed if method],
            "priority": priority,
            "repeatable": bool(repeatable),
            "open": bool(open),
            "deadline_ms": int(deadline_ms),
        }
        self._documents().edit({"routes": {str(name): item}})

    def remove(self, name):
        """Removes a route."""
        self._documents().edit({"routes": {str(name): None}})

    def list(self):
        """Lists the routes."""
        found = self._documents().current()["document"]["routes"]
        rows = [{"name": name, **item} for name, item in found.items()]
        print_json(found) if self._json else print(table(rows))


class ControllerCommands(_Base):
    """The group of controllers."""

    def found(self, data_dir):
        """Marks an empty data folder as the first one of a new group."""
        from marjoramvalve.controller import mark_new_group_folder

        try:
            mark_new_group_folder(Path(str(data_dir)))
        except OSError as exc:
            fail(f"data folder {str(data_dir)!r} is not marked: {exc}", exits.REFUSED)
        print(f"data folder {str(data_dir)!r} is marked as a new group's")

    def _change(self, action, name, address=""):
        body = {"action": action, "name": str(name), "address": str(address)}
        answer = require(call(self._target(), "POST", "/v1/controllers", body))
        print_json(answer) if self._json else print(f"{action} {name}: {answer['verdict']}")

    def add(self, name, address):
        """Adds a controller as learner; promote it once it has caught up."""
        self._change("add", name, address)

    def promote(self, name):
        """Makes a learner a voter, if it has caught up."""
        self._change("promote", name)

    def remove(self, name):
        """Removes a controller from the group."""
        self._change("remove", name)

    def replace(self, name):
        """Removes a controller whose folder was lost or damaged, and tells the next steps."""
        self._change("remove", name)
        print("1. move the damaged folder away and create an empty one")
        print(f"2. start the instance under a new name with --join yes (not as {name!r})")
        print("3. marjoramvalve controller add NEW-NAME HOST:PORT")
        print("4. marjoramvalve controller promote NEW-NAME   (refused until it has caught up)")


class Commands(_Base):
    """Operators' commands. Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable, 4 unknown."""

    def __init__(self, servers="", credential_file="", json=False):
        super().__init__(servers, credential_file, bool(json))
        shared = (servers, credential_file, bool(json))
        self.customer = CustomerCommands(*shared)
        self.key = KeyCommands(*shared)
        self.route = RouteCommands(*shared)
        self.controller = ControllerCommands(*shared)

    def patch(self, file, base, id, kind="merge"):  # noqa: A002
        """Submits a patch of a file (`-` for standard input) against version `base`.

        Sending the same id again gets the first verdict.
        """
        self._documents().patch(str(file), int(base), str(id), kind)

    def show(self, version=None):
        """Prints the document, of the current or of a kept version."""
        self._documents().show(None if version is None else int(version))

    def history(self):
        """Prints the kept versions."""
        self._documents().history()

    def watch(self, count=0):
        """Prints each new version."""
        self._documents().watch(int(count))

    def rate(self, customer, rate, burst):
        """Changes a customer's rate (calls a second) and burst (calls)."""
        item = {"rate": float(rate), "burst": float(burst)}
        self._documents().edit({"customers": {str(customer): item}})

    def status(self, server=""):
        """Prints the status: of the fleet from its leader, or of one instance."""
        target = self._target()
        if server:
            target = Target((str(server),), target.credential)
        body = require(call(target, "GET", "/v1/status", leader=False))
        if self._json:
            print_json(body)
            return
        controller = body.get("controller")
        print(f"instance {body['instance']}  domain {body['domain']}  version {body['version']}")
        print(f"epoch {body['epoch']}  current {body['current']}  running {body['running']}")
        if controller:
            print(f"controller {controller['role']}, leader {controller['leader'] or '-'}")
        print(table(body["instances"]))
        print(table(body["owned"]))
        print(table(body["targets"]))

    def drain(self, upstream):
        """Drains an upstream: it gets no new work. Asks the instance beside it."""
        target = self._target()
        status = require(call(target, "GET", "/v1/status", leader=False))
        for item in status["instances"]:
            if str(upstream) in item["upstreams"]:
                beside = Target((item["control"],), target.credential)
                body = require(call(beside, "POST", f"/v1/drain/{upstream}", leader=False))
                print_json(body) if self._json else print(f"draining {upstream}")
                return
        fail(f"refused: upstream {str(upstream)!r} is not in the roster", exits.REFUSED)

    def explain(self, request_id):
        """Tells why a request was refused, whichever instance refused it."""
        target = self._target()
        status = require(call(target, "GET", "/v1/status", leader=False))
        for item in status["instances"]:
            beside = Target((item["control"],), target.credential)
            reply = call(beside, "GET", f"/v1/explain/{request_id}", leader=False)
            if getattr(reply, "status", 0) == 200:
                if self._json:
                    print_json(reply.body)
                else:
                    rows = [{"name": name, "value": value} for name, value in reply.body.items()]
                    print(table(rows))
                return
        fail(f"refused: no instance keeps a refusal of {str(request_id)!r}", exits.REFUSED)

    def check(self, **flags):
        """Checks the daemon's settings without starting it."""
        loaded = load_settings(flags, os.environ)
        faults = loaded.faults if isinstance(loaded, Err) else check_settings(loaded.value)
        for fault in faults:
            print(fault, file=sys.stderr)
        if faults:
            raise SystemExit(exits.USAGE)
        print("settings are right")


JSON_FLAG = "--json"
SEPARATOR = "%%"


def arguments(argv: list[str]) -> list[str]:
    """Returns the arguments for the command-line library.

    `--json` may stand anywhere. The library's own separator, a single dash, is set to another
    text, since a dash stands for standard input here.
    """
    rest = [item for item in argv if item != JSON_FLAG]
    if len(rest) != len(argv):
        rest.insert(0, f"{JSON_FLAG}=True")
    if "--" not in rest:
        rest.append("--")
    return [*rest, f"--separator={SEPARATOR}"]


def main() -> None:
    """Runs `marjoramvalve`."""
    fire.Fire(Commands, command=arguments(sys.argv[1:]), name="marjoramvalve")
