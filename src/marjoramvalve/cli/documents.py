"""Commands that read or change the configuration document."""

import getpass
import secrets
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from marjoramvalve.cli import exits
from marjoramvalve.cli.clients import ControlTarget, call
from marjoramvalve.cli.outputs import body_or_exit, exit_with_error, format_table, print_json
from marjoramvalve.model import key_digest

KEY_PREFIX = "mvk_"
KEY_BYTES = 24
WATCH_INTERVAL_S = 1.0
MAX_EDIT_ATTEMPTS = 5


class DocumentCommands:
    """Reads and changes the configuration document through the control API."""

    def __init__(self, target: ControlTarget, as_json: bool) -> None:
        self._target = target
        self._as_json = as_json

    def submit_patch(self, patch: Any, base: int, patch_id: str, kind: str) -> Any:
        """Submits a patch against version `base` and returns the verdict."""
        body = {
            "patch_id": patch_id,
            "base": base,
            "kind": kind,
            "patch": patch,
            "author": getpass.getuser(),
        }
        return body_or_exit(call(self._target, "POST", "/v1/patches", body))

    def fetch_current(self) -> Any:
        """Fetches the current version and document."""
        return body_or_exit(call(self._target, "GET", "/v1/config"))

    def edit(self, patch: Any) -> None:
        """Submits a merge patch against the current version and prints the new version.

        On a conflict with another operator it fetches the new version and retries. This is safe
        only for a patch that does not depend on the document it is applied to.
        """
        for _ in range(MAX_EDIT_ATTEMPTS):
            base = self.fetch_current()["current"]
            patch_id = f"cli-{secrets.token_hex(8)}"
            body = {
                "patch_id": patch_id,
                "base": base,
                "kind": "merge",
                "patch": patch,
                "author": getpass.getuser(),
            }
            response = call(self._target, "POST", "/v1/patches", body)
            if getattr(response, "status", 0) == 409:
                continue
            self._print_verdict(body_or_exit(response))
            return
        exit_with_error(
            "refused: patches by other operators were accepted first; try again", exits.REFUSED
        )

    def _print_verdict(self, verdict: Any) -> None:
        if self._as_json:
            print_json(verdict)
        else:
            print(f"accepted as version {verdict['version']}")

    def patch(self, file: str, base: int, patch_id: str, kind: str) -> None:
        """Submits a patch read from a file, or from standard input if `file` is `-`."""
        text = sys.stdin.read() if file == "-" else Path(file).read_text()
        try:
            patch = msgspec.json.decode(text)
        except msgspec.DecodeError as exc:
            exit_with_error(f"patch {file!r} is not JSON: {exc}", exits.USAGE)
        self._print_verdict(self.submit_patch(patch, base, patch_id, kind))

    def show(self, version: int | None) -> None:
        """Prints the document of a version, or the current one if `version` is None."""
        query = "" if version is None else f"?version={version}"
        body = body_or_exit(call(self._target, "GET", f"/v1/config{query}"))
        print_json(body if self._as_json else body["document"])

    def history(self) -> None:
        """Prints the versions in the history."""
        body = body_or_exit(call(self._target, "GET", "/v1/history"))
        if self._as_json:
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
        print(format_table(rows))

    def watch(self, count: int) -> None:
        """Prints each new version; stops after `count` versions, or never if it is 0."""
        last_version = None
        printed_count = 0
        while not count or printed_count < count:
            body = self.fetch_current()
            if body["current"] != last_version:
                last_version = body["current"]
                printed_count += 1
                if self._as_json:
                    print_json({"version": last_version})
                else:
                    print(f"version {last_version}", flush=True)
            time.sleep(WATCH_INTERVAL_S)

    def issue_key(self, customer: str, label: str) -> None:
        """Issues a key and prints it; only its digest is stored, so it cannot be shown again."""
        key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
        digest = key_digest(key)
        patch = {"keys": {digest: {"customer": customer, "label": label}}}
        base = self.fetch_current()["current"]
        verdict = self.submit_patch(patch, base, f"key-{digest[:16]}", "merge")
        if self._as_json:
            print_json({"key": key, "digest": digest, "version": verdict["version"]})
            return
        print(f"key     {key}")
        print(f"digest  {digest}")
        print(f"version {verdict['version']}")

    def withdraw_key(self, key: str) -> None:
        """Withdraws a key, given as the key itself, its digest or its label."""
        keys = self.fetch_current()["document"]["keys"]
        digest = key_digest(key)
        matching = [name for name, item in keys.items() if key in (name, item["label"])]
        digests = [digest] if digest in keys else matching
        if len(digests) != 1:
            exit_with_error(f"refused: key {key[:12]!r} matches {len(digests)} keys", exits.REFUSED)
        self.edit({"keys": {digests[0]: None}})
