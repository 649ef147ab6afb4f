"""Settings: read from flags and environment, every fault at once, reference up to date."""

import tempfile
import unittest
from pathlib import Path

from marjoramvalve.outcomes import Err, Ok
from marjoramvalve.settings import DECLARATIONS, check_settings, load_settings, reference_table

REFERENCE = Path(__file__).parent.parent / "docs" / "ref" / "settings.md"
GOOD = {
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
    """Flags and environment."""

    def test_flag_wins_over_environment(self):
        env = {"MARJORAMVALVE_DOMAIN": "irbid", "MARJORAMVALVE_REGION": "north"}
        cfg = load_settings(GOOD, env).value
        self.assertEqual((cfg.domain, cfg.region), ("amman", "north"))

    def test_every_fault_is_reported_at_once(self):
        bad = {**GOOD, "listen": "host:port", "trace_ratio": 2, "stale_config": "maybe", "lisen": 1}
        del bad["instance"]
        found = load_settings(bad, {"MARJORAMVALVE_NOPE": "1"})
        self.assertIsInstance(found, Err)
        ids = sorted(fault.id for fault in found.faults)
        numbers = ["E001", "E001", "E004", "E005", "E008", "E010"]
        self.assertEqual(ids, [f"settings.{number}" for number in numbers])
        self.assertIn("did you mean 'listen'", str(found))

    def test_every_setting_has_a_default_that_parses(self):
        found = load_settings(GOOD, {})
        self.assertIsInstance(found, Ok)
        names = {item.name for item in DECLARATIONS}
        self.assertEqual(names | {"unknown"}, set(found.value.__slots__))


class CheckTests(unittest.TestCase):
    """Checks across settings."""

    def test_faults_across_settings(self):
        flags = {**GOOD, "poll_interval": 3, "remove_after": 1, "trace_exporter": "otlp"}
        flags["controllers"] = "n1@127.0.0.1:9,n2@127.0.0.1:8"
        faults = {fault.id[-4:] for fault in check_settings(load_settings(flags, {}).value)}
        expected = {"E021", "E024", "E025", "E026", "E028", "E029", "E030"}
        self.assertEqual(faults, expected)

    def test_short_secret_is_refused(self):
        with tempfile.NamedTemporaryFile() as file:
            file.write(b"short")
            file.flush()
            cfg = load_settings({**GOOD, "fleet_secret_file": file.name}, {}).value
            self.assertIn("settings.E022", {fault.id for fault in check_settings(cfg)})


class ReferenceTests(unittest.TestCase):
    """The settings reference."""

    def test_reference_lists_every_setting(self):
        self.assertIn(reference_table(), REFERENCE.read_text())
