"""Files of checksummed records.

A record is a header of 16 bytes (payload length, checksum of the length, checksum of the
payload) and the payload. The header's own checksum lets recovery tell a torn tail, which a crash
may leave, from damage in the middle, which must not be cut away silently.
"""

import os
import struct
from dataclasses import dataclass
from pathlib import Path

import xxhash

HEADER = struct.Struct("<IIQ")


@dataclass(frozen=True, slots=True)
class CorruptRecord:
    """Damage that is no torn tail: the file, the offset in bytes and what is wrong."""

    path: Path
    offset: int
    problem: str


@dataclass(frozen=True, slots=True)
class Records:
    """Whole records of a file, the offset of their end and the bytes torn behind it."""

    payloads: tuple[bytes, ...]
    end: int
    torn: int


def encode_record(payload: bytes) -> bytes:
    """Returns the header and payload of one record."""
    size = struct.pack("<I", len(payload))
    checksum = xxhash.xxh3_64_intdigest(payload)
    return HEADER.pack(len(payload), xxhash.xxh32_intdigest(size), checksum) + payload


def read_records(path: Path) -> Records | CorruptRecord:
    """Returns the records of a file, cut before a torn tail, or the damage found."""
    raw = path.read_bytes()
    payloads = []
    offset = 0
    while offset < len(raw):
        rest = len(raw) - offset
        if rest < HEADER.size:
            break
        length, length_sum, payload_sum = HEADER.unpack_from(raw, offset)
        if xxhash.xxh32_intdigest(struct.pack("<I", length)) != length_sum:
            if not any(raw[offset:]):
                break
            return CorruptRecord(path, offset, "record header does not match its checksum")
        end = offset + HEADER.size + length
        if end > len(raw):
            break
        payload = raw[offset + HEADER.size : end]
        if xxhash.xxh3_64_intdigest(payload) != payload_sum:
            if end == len(raw):
                break
            return CorruptRecord(path, offset, "record payload does not match its checksum")
        payloads.append(payload)
        offset = end
    return Records(tuple(payloads), offset, len(raw) - offset)


def sync_folder(folder: Path) -> None:
    """Syncs a folder, so that files created or renamed in it last."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def write_synced(path: Path, data: bytes) -> None:
    """Replaces a file as a whole: written beside it, synced, renamed, folder synced."""
    temporary = path.with_name(path.name + ".tmp")
    fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        _write_all(fd, data)
        os.fsync(fd)
    finally:
        os.close(fd)
    os.rename(temporary, path)
    sync_folder(path.parent)


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]


class RecordFile:
    """An append-only file of records; `append` returns after the bytes are synced."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.size = 0
        self._fd = -1

    def start(self, end: int) -> None:
        """Opens the file for appending at `end`, cutting what lies behind."""
        self._fd = os.open(self.path, os.O_RDWR | os.O_CREAT, 0o600)
        os.ftruncate(self._fd, end)
        os.lseek(self._fd, end, os.SEEK_SET)
        os.fsync(self._fd)
        sync_folder(self.path.parent)
        self.size = end

    def append(self, payloads: list[bytes]) -> None:
        """Writes records and syncs them. On OSError the file is cut back to its old end."""
        data = b"".join(encode_record(payload) for payload in payloads)
        try:
            _write_all(self._fd, data)
            self._sync()
        except OSError:
            os.ftruncate(self._fd, self.size)
            os.lseek(self._fd, self.size, os.SEEK_SET)
            raise
        self.size += len(data)

    def _sync(self) -> None:
        os.fdatasync(self._fd)

    def close(self) -> None:
        """Closes the file."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1
