"""Tests of the settings: loading, checks and the reference page."""

import tempfile
import unittest
from pathlib import Path

from marjoramvalve.outcomes import Err, Ok
from marjoramvalve.settings import DECLARATIONS, check_settings, load_settings, reference_table

REFERENCE_PAGE = Path(__file__).parent.parent / "docs" / "ref" / "settings.md"
VALID_FLAGS = {
    "instance": "n1",
    "domain": "amman",
    "listen": "127.0.0.1:1000",
    "control": "127.0.0.1:1001",
    "peer": "127.0.0.1:1002",
    "controllers": "n1@127.0.0.1:1002",
    "fleet_secret_file": "/nowhere/secret",
    "operator_credential_file": "/nowhere/operator",
}


class LoadingTests(unittest.TestCase):
    """Loading from flags and environment variables."""

    def test_flags_override_environment_variables(self):
        env = {"MARJORAMVALVE_DOMAIN": "irbid", "MARJORAMVALVE_REGION": "north"}
        cfg = load_settings(VALID_FLAGS, env).value
        self.assertEqual((cfg.domain, cfg.region), ("amman", "north"))

    def test_all_faults_are_reported_at_once(self):
        flags = {
            **VALID_FLAGS,
            "listen": "host:port",
            "trace_ratio": 2,
            "stale_config": "maybe",
            "lisen": 1,
        }
        del flags["instance"]
        result = load_settings(flags, {"MARJORAMVALVE_NOPE": "1"})
        self.assertIsInstance(result, Err)
        ids = sorted(fault.id for fault in result.faults)
        numbers = ["E001", "E001", "E004", "E005", "E008", "E010"]
        self.assertEqual(ids, [f"settings.{number}" for number in numbers])
        self.assertIn("did you mean 'listen'", str(result))

    def test_defaults_are_valid_and_settings_has_all_fields(self):
        result = load_settings(VALID_FLAGS, {})
        self.assertIsInstance(result, Ok)
        names = {item.name for item in DECLARATIONS}
        self.assertEqual(names | {"unknown"}, set(result.value.__slots__))


class CheckTests(unittest.TestCase):
    """Checks that involve several settings or files."""

    def test_faults_in_combinations_of_settings(self):
        flags = {**VALID_FLAGS, "poll_interval": 3, "remove_after": 1, "trace_exporter": "otlp"}
        flags["controllers"] = "n1@127.0.0.1:9,n2@127.0.0.1:8"
        faults = {fault.id[-4:] for fault in check_settings(load_settings(flags, {}).value)}
        expected = {"E021", "E024", "E025", "E026", "E028", "E029", "E030"}
        self.assertEqual(faults, expected)

    def test_short_secret_is_rejected(self):
        with tempfile.NamedTemporaryFile() as file:
            file.write(b"short")
            file.flush()
            cfg = load_settings({**VALID_FLAGS, "fleet_secret_file": file.name}, {}).value
            self.assertIn("settings.E022", {fault.id for fault in check_settings(cfg)})


class ReferenceTests(unittest.TestCase):
    """The settings reference page."""

    def test_reference_lists_every_setting(self):
        self.assertIn(reference_table(), REFERENCE_PAGE.read_text())
