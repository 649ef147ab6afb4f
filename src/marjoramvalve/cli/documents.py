"""Commands on the configuration: patch, show, history, watch, customer, key, rate, route."""

import getpass
import secrets
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from marjoramvalve.cli import exits
from marjoramvalve.cli.clients import Target, call
from marjoramvalve.cli.outputs import fail, print_json, require, table
from marjoramvalve.model import key_digest

KEY_PREFIX = "mvk_"
KEY_BYTES = 24
WATCH_INTERVAL_S = 1.0
EDIT_ROUNDS = 5


class Documents:
    """Reads and changes the configuration."""

    def __init__(self, target: Target, as_json: bool) -> None:
        self._target = target
        self._json = as_json

    def submit(self, patch: Any, base: int, patch_id: str, kind: str) -> Any:
        """Submits a patch and returns the verdict."""
        body = {
            "patch_id": patch_id,
            "base": base,
            "kind": kind,
            "patch": patch,
            "author": getpass.getuser(),
        }
        return require(call(self._target, "POST", "/v1/patches", body))

    def current(self) -> Any:
        """Returns the current version and document."""
        return require(call(self._target, "GET", "/v1/config"))

    def edit(self, patch: Any) -> None:
        """Submits a small merge patch on the current version; prints the new version.

        A race with another operator is settled by reading the new version and trying again,
        which is right only because the patch stands by itself.
        """
        for _ in range(EDIT_ROUNDS):
            base = self.current()["current"]
            patch_id = f"cli-{secrets.token_hex(8)}"
            body = {
                "patch_id": patch_id,
                "base": base,
                "kind": "merge",
                "patch": patch,
                "author": getpass.getuser(),
            }
            reply = call(self._target, "POST", "/v1/patches", body)
            if getattr(reply, "status", 0) == 409:
                continue
            self._print_verdict(require(reply))
            return
        fail("refused: other operators' patches came first; try again", exits.REFUSED)

    def _print_verdict(self, verdict: Any) -> None:
        if self._json:
            print_json(verdict)
        else:
            print(f"accepted as version {verdict['version']}")

    def patch(self, file: str, base: int, patch_id: str, kind: str) -> None:
        """Submits a patch of a file, or of standard input for `-`."""
        raw = sys.stdin.read() if file == "-" else Path(file).read_text()
        try:
            patch = msgspec.json.decode(raw)
        except msgspec.DecodeError as exc:
            fail(f"patch {file!r} is not JSON: {exc}", exits.USAGE)
        self._print_verdict(self.submit(patch, base, patch_id, kind))

    def show(self, version: int | None) -> None:
        """Prints the document of a version."""
        query = "" if version is None else f"?version={version}"
        body = require(call(self._target, "GET", f"/v1/config{query}"))
        print_json(body if self._json else body["document"])

    def history(self) -> None:
        """Prints the kept versions."""
        body = require(call(self._target, "GET", "/v1/history"))
        if self._json:
            print_json(body)
            return
        rows = [
            {
                "version": item["version"],
                "at": time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(item["at"])),
                "author": item["author"],
                "patch_id": item["patch_id"],
            }
            for item in body["history"]
        ]
        print(table(rows))

    def watch(self, count: int) -> None:
        """Prints each new version as it comes; `count` 0 goes on until it is stopped."""
        seen = None
        printed = 0
        while not count or printed < count:
            body = self.current()
            if body["current"] != seen:
                seen = body["current"]
                printed += 1
                if self._json:
                    print_json({"version": seen})
                else:
                    print(f"version {seen}", flush=True)
            time.sleep(WATCH_INTERVAL_S)

    def issue_key(self, customer: str, label: str) -> None:
        """Issues a key: it is printed once, and only its digest is kept."""
        key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
        digest = key_digest(key)
        patch = {"keys": {digest: {"customer": customer, "label": label}}}
        base = self.current()["current"]
        verdict = self.submit(patch, base, f"key-{digest[:16]}", "merge")
        if self._json:
            print_json({"key": key, "digest": digest, "version": verdict["version"]})
            return
        print(f"key     {key}")
        print(f"digest  {digest}")
        print(f"version {verdict['version']}")

    def withdraw_key(self, key: str) -> None:
        """Withdraws a key, named by itself, by its digest or by a label."""
        keys = self.current()["document"]["keys"]
        digest = key_digest(key)
        named = [name for name, item in keys.items() if key in (name, item["label"])]
        found = [digest] if digest in keys else named
        if len(found) != 1:
            fail(f"refused: key {key[:12]!r} matches {len(found)} keys", exits.REFUSED)
        self.edit({"keys": {found[0]: None}})
