"""Data folder: torn tails are cut, damage is refused, and nothing synced is lost."""

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
    """Opening, appending and recovering."""

    def setUp(self):
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.path = Path(holder.name)

    def fill(self):
        folder, _ = open_folder(self.path)
        for payload in PAYLOADS:
            folder.append([payload])
        folder.close()

    def test_everything_appended_comes_back(self):
        self.fill()
        folder, recovered = open_folder(self.path)
        folder.close()
        self.assertEqual(list(recovered.payloads), PAYLOADS)

    def test_every_torn_tail_is_cut(self):
        whole = b"".join(encode_record(payload) for payload in PAYLOADS)
        first_two = len(b"".join(encode_record(payload) for payload in PAYLOADS[:2]))
        for size in range(first_two + 1, len(whole)):
            (self.path / "log").write_bytes(whole[:size])
            folder, recovered = open_folder(self.path)
            folder.append([b"next"])
            folder.close()
            self.assertEqual(list(recovered.payloads), PAYLOADS[:2])
            self.assertEqual(recovered.torn_bytes, size - first_two)
            self.assertEqual(read_records(self.path / "log").payloads[2], b"next")

    def test_an_append_that_was_torn_anywhere_is_cut(self):
        self.fill()
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

    def test_bytes_that_no_append_wrote_are_refused(self):
        self.fill()
        whole = (self.path / "log").read_bytes()
        for raw, offset in ((b"x" * 500, 0), (whole + b"x" * 40, len(whole))):
            (self.path / "log").write_bytes(raw)
            found = read_records(self.path / "log")
            self.assertIsInstance(found, CorruptRecord)
            self.assertEqual(found.offset, offset)

    def test_zeroes_behind_the_end_are_a_torn_tail(self):
        self.fill()
        with open(self.path / "log", "ab") as file:
            file.write(bytes(100))
        folder, recovered = open_folder(self.path)
        folder.close()
        self.assertEqual((len(recovered.payloads), recovered.torn_bytes), (3, 100))

    @settings(derandomize=True, deadline=None, max_examples=80)
    @given(st.data())
    def test_damage_in_the_middle_is_refused_with_its_offset(self, data):
        raw = bytearray(b"".join(encode_record(payload) for payload in PAYLOADS))
        middle = len(raw) - len(encode_record(PAYLOADS[2]))
        at = data.draw(st.integers(0, middle - 1))
        raw[at] ^= data.draw(st.integers(1, 255))
        (self.path / "log").write_bytes(bytes(raw))
        found = open_folder(self.path)
        self.assertIsInstance(found, CorruptRecord)
        self.assertLessEqual(found.offset, at)
        self.assertEqual(found.path.name, "log")
        (self.path / "log").unlink()

    def test_second_opening_is_refused(self):
        folder, _ = open_folder(self.path)
        self.assertIsInstance(open_folder(self.path), FolderLocked)
        folder.close()
        folder, _ = open_folder(self.path)
        folder.close()

    def test_full_disk_loses_nothing_that_was_kept(self):
        self.fill()
        folder, _ = open_folder(self.path)
        full = OSError(errno.ENOSPC, "no space left on device")
        with mock.patch.object(folder.log, "_sync", side_effect=full):
            with self.assertRaises(OSError):
                folder.append([b"does not fit"])
        folder.append([b"fits again"])
        folder.close()
        found = read_records(self.path / "log")
        self.assertEqual(list(found.payloads), [*PAYLOADS, b"fits again"])

    def test_snapshot_replaces_the_log(self):
        self.fill()
        folder, _ = open_folder(self.path)
        folder.write_snapshot(b"state", [b"kept"])
        folder.append([b"after"])
        folder.close()
        folder, recovered = open_folder(self.path)
        folder.close()
        self.assertEqual(recovered.snapshot, b"state")
        self.assertEqual(recovered.payloads, (b"kept", b"after"))

    def test_damaged_snapshot_is_refused(self):
        folder, _ = open_folder(self.path)
        folder.write_snapshot(b"state", [])
        folder.close()
        raw = (self.path / "snapshot").read_bytes()
        (self.path / "snapshot").write_bytes(raw[:-1])
        self.assertIsInstance(open_folder(self.path), CorruptRecord)
        self.assertEqual(HEADER.size, 16)
