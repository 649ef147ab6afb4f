"""Data folder: torn tails are truncated, damage is reported, and no synced record is lost."""

import errno
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramvalve.storage import CorruptRecord, FolderLocked, open_folder, read_records
from marjoramvalve.storage.records import HEADER, encode_record

PAYLOADS = [b"first", b"second record", b"third" * 30]


class FolderTests(unittest.TestCase):
    """Opening, appending and recovery."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name)

    def append_payloads(self):
        folder, _ = open_folder(self.path)
        for payload in PAYLOADS:
            folder.append([payload])
        folder.close()

    def test_recovers_all_appended_records(self):
        self.append_payloads()
        folder, recovered = open_folder(self.path)
        folder.close()
        self.assertEqual(list(recovered.payloads), PAYLOADS)

    def test_truncates_torn_tail_of_any_size(self):
        intact = b"".join(encode_record(payload) for payload in PAYLOADS)
        first_two = len(b"".join(encode_record(payload) for payload in PAYLOADS[:2]))
        for size in range(first_two + 1, len(intact)):
            (self.path / "log").write_bytes(intact[:size])
            folder, recovered = open_folder(self.path)
            folder.append([b"next"])
            folder.close()
            self.assertEqual(list(recovered.payloads), PAYLOADS[:2])
            self.assertEqual(recovered.torn_bytes, size - first_two)
            self.assertEqual(read_records(self.path / "log").payloads[2], b"next")

    def test_truncates_append_torn_at_any_position(self):
        self.append_payloads()
        folder, _ = open_folder(self.path)
        size = folder.log.size
        folder.append([b"a" * 40, b"b" * 700, b"c" * 40])
        folder.close()
        raw = (self.path / "log").read_bytes()
        for start in range(size, len(raw), 64):
            for end in (start + 8, start + 64, len(raw)):
                torn = raw[:start] + bytes(len(raw[start:end])) + raw[end:]
                if torn == raw:
                    continue
                (self.path / "log").write_bytes(torn)
                found = read_records(self.path / "log")
                self.assertEqual((list(found.payloads), found.end), (PAYLOADS, size))

    def test_reports_bytes_that_no_append_wrote(self):
        self.append_payloads()
        intact = (self.path / "log").read_bytes()
        for raw, offset in ((b"x" * 500, 0), (intact + b"x" * 40, len(intact))):
            (self.path / "log").write_bytes(raw)
            found = read_records(self.path / "log")
            self.assertIsInstance(found, CorruptRecord)
            self.assertEqual(found.offset, offset)

    def test_treats_trailing_zeros_as_torn_tail(self):
        self.append_payloads()
        with open(self.path / "log", "ab") as file:
            file.write(bytes(100))
        folder, recovered = open_folder(self.path)
        folder.close()
        self.assertEqual((len(recovered.payloads), recovered.torn_bytes), (3, 100))

    @settings(derandomize=True, deadline=None, max_examples=80)
    @given(st.data())
    def test_reports_offset_of_damage_before_last_record(self, data):
        raw = bytearray(b"".join(encode_record(payload) for payload in PAYLOADS))
        last_record_start = len(raw) - len(encode_record(PAYLOADS[2]))
        position = data.draw(st.integers(0, last_record_start - 1))
        raw[position] ^= data.draw(st.integers(1, 255))
        (self.path / "log").write_bytes(bytes(raw))
        found = open_folder(self.path)
        self.assertIsInstance(found, CorruptRecord)
        self.assertLessEqual(found.offset, position)
        self.assertEqual(found.path.name, "log")
        (self.path / "log").unlink()

    def test_rejects_second_open_while_locked(self):
        folder, _ = open_folder(self.path)
        self.assertIsInstance(open_folder(self.path), FolderLocked)
        folder.close()
        folder, _ = open_folder(self.path)
        folder.close()

    def test_append_to_full_disk_keeps_earlier_records(self):
        self.append_payloads()
        folder, _ = open_folder(self.path)
        disk_full = OSError(errno.ENOSPC, "no space left on device")
        with mock.patch.object(folder.log, "_sync", side_effect=disk_full):
            with self.assertRaises(OSError):
                folder.append([b"does not fit"])
        folder.append([b"fits again"])
        folder.close()
        found = read_records(self.path / "log")
        self.assertEqual(list(found.payloads), [*PAYLOADS, b"fits again"])

    def test_snapshot_replaces_log(self):
        self.append_payloads()
        folder, _ = open_folder(self.path)
        folder.write_snapshot(b"state", [b"kept"])
        folder.append([b"after"])
        folder.close()
        folder, recovered = open_folder(self.path)
        folder.close()
        self.assertEqual(recovered.snapshot, b"state")
        self.assertEqual(recovered.payloads, (b"kept", b"after"))

    def test_reports_damaged_snapshot(self):
        folder, _ = open_folder(self.path)
        folder.write_snapshot(b"state", [])
        folder.close()
        raw = (self.path / "snapshot").read_bytes()
        (self.path / "snapshot").write_bytes(raw[:-1])
        self.assertIsInstance(open_folder(self.path), CorruptRecord)
        self.assertEqual(HEADER.size, 16)
