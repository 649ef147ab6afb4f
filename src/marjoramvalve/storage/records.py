"""Files of checksummed records.

A record is a header of 16 bytes (payload length, checksum of the length, checksum of the
payload) and the payload. What is appended at once makes one record, a batch. So a crash can spoil
only the last record, in any of its parts: damage with a whole record behind it, or bytes that no
append wrote, are no torn tail and must not be cut away silently.
"""

import os
import struct
from dataclasses import dataclass
from pathlib import Path

import xxhash

HEADER = struct.Struct("<IIQ")
LENGTH = struct.Struct("<I")
BATCH_FLAG = 1 << 31  # Set in the length of a record that holds several payloads.


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
    torn_bytes: int


def encode_record(payload: bytes) -> bytes:
    """Returns the header and payload of one record."""
    size = struct.pack("<I", len(payload))
    checksum = xxhash.xxh3_64_intdigest(payload)
    return HEADER.pack(len(payload), xxhash.xxh32_intdigest(size), checksum) + payload


def encode_batch(payloads: list[bytes]) -> bytes:
    """Returns one record that holds several payloads."""
    whole = b"".join(LENGTH.pack(len(payload)) + payload for payload in payloads)
    size = LENGTH.pack(len(whole) | BATCH_FLAG)
    checksum = xxhash.xxh3_64_intdigest(whole)
    return HEADER.pack(len(whole) | BATCH_FLAG, xxhash.xxh32_intdigest(size), checksum) + whole


def _split_batch(whole: bytes) -> list[bytes]:
    payloads = []
    offset = 0
    while offset < len(whole):
        (size,) = LENGTH.unpack_from(whole, offset)
        offset += LENGTH.size
        payloads.append(whole[offset : offset + size])
        offset += size
    return payloads


def _decode_record(raw: bytes, offset: int) -> tuple[list[bytes], int] | str:
    """Returns the payloads of the record at an offset and its end, or what is wrong with it."""
    if len(raw) - offset < HEADER.size:
        return "record header is not whole"
    length, length_checksum, payload_checksum = HEADER.unpack_from(raw, offset)
    if xxhash.xxh32_intdigest(LENGTH.pack(length)) != length_checksum:
        return "record header does not match its checksum"
    start = offset + HEADER.size
    end = start + (length & ~BATCH_FLAG)
    payload = raw[start:end]
    if end > len(raw) or xxhash.xxh3_64_intdigest(payload) != payload_checksum:
        return "record payload does not match its checksum"
    return (_split_batch(payload) if length & BATCH_FLAG else [payload]), end


def _may_be_torn(raw: bytes, offset: int) -> bool:
    """Tells whether a bad record may be what a crash left of the last append.

    A part of a write that did not reach the disk reads as zeros. A header that is neither right
    nor zero in any of its words was not written so.
    """
    header = raw[offset : offset + HEADER.size]
    words = [header[at : at + LENGTH.size] for at in range(0, len(header), LENGTH.size)]
    whole = len(header) == HEADER.size
    right = whole and xxhash.xxh32_intdigest(words[0]) == LENGTH.unpack(words[1])[0]
    if whole and not right and all(any(word) for word in words):
        return False
    return not _has_record_after(raw, offset)


def _has_record_after(raw: bytes, offset: int) -> bool:
    last = len(raw) - HEADER.size
    return any(not isinstance(_decode_record(raw, at), str) for at in range(offset + 1, last + 1))


def read_records(path: Path) -> Records | CorruptRecord:
    """Returns the records of a file, cut before a torn tail, or the damage found."""
    raw = path.read_bytes()
    payloads: list[bytes] = []
    offset = 0
    while offset < len(raw):
        match _decode_record(raw, offset):
            case str(problem):
                if not _may_be_torn(raw, offset):
                    return CorruptRecord(path, offset, problem)
                break
            case (found, end):
                payloads.extend(found)
                offset = end
    return Records(tuple(payloads), offset, len(raw) - offset)


def sync_folder(folder: Path) -> None:
    """Syncs a folder, so that files created or renamed in it last."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def write_atomically(path: Path, data: bytes) -> None:
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

    def open(self, end: int) -> None:
        """Opens the file for appending at `end`, cutting what lies behind."""
        self._fd = os.open(self.path, os.O_RDWR | os.O_CREAT, 0o600)
        os.ftruncate(self._fd, end)
        os.lseek(self._fd, end, os.SEEK_SET)
        os.fsync(self._fd)
        sync_folder(self.path.parent)
        self.size = end

    def append(self, payloads: list[bytes]) -> None:
        """Writes records and syncs them. On OSError the file is cut back to its old end."""
        data = encode_batch(payloads)
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
