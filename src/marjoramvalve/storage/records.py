"""Files of checksummed records.

A record is a header of 16 bytes (payload length, checksum of the length, checksum of the
payload) and the payload. The payloads of one append form one record, a batch. A crash can
therefore damage only the last record, but any part of it. Damage that is followed by an intact
record, or bytes that no append can have written, are not a torn tail and must not be truncated
silently.
"""

import os
import struct
from dataclasses import dataclass
from pathlib import Path

import xxhash

HEADER = struct.Struct("<IIQ")
LENGTH = struct.Struct("<I")
BATCH_FLAG = 1 << 31  # Set in the length field of a record that holds a batch of payloads.


@dataclass(frozen=True, slots=True)
class CorruptRecord:
    """Damage other than a torn tail: the file, the offset in bytes and the problem."""

    path: Path
    offset: int
    problem: str


@dataclass(frozen=True, slots=True)
class Records:
    """Payloads of a file, the end offset of the last intact record and the torn bytes after it."""

    payloads: tuple[bytes, ...]
    end: int
    torn_bytes: int


def encode_record(payload: bytes) -> bytes:
    """Encodes one payload as a record."""
    length_field = struct.pack("<I", len(payload))
    checksum = xxhash.xxh3_64_intdigest(payload)
    return HEADER.pack(len(payload), xxhash.xxh32_intdigest(length_field), checksum) + payload


def encode_batch(payloads: list[bytes]) -> bytes:
    """Encodes several payloads as one record."""
    body = b"".join(LENGTH.pack(len(payload)) + payload for payload in payloads)
    length_field = LENGTH.pack(len(body) | BATCH_FLAG)
    checksum = xxhash.xxh3_64_intdigest(body)
    return (
        HEADER.pack(len(body) | BATCH_FLAG, xxhash.xxh32_intdigest(length_field), checksum) + body
    )


def _split_batch(body: bytes) -> list[bytes]:
    payloads = []
    offset = 0
    while offset < len(body):
        (size,) = LENGTH.unpack_from(body, offset)
        offset += LENGTH.size
        payloads.append(body[offset : offset + size])
        offset += size
    return payloads


def _decode_record(raw: bytes, offset: int) -> tuple[list[bytes], int] | str:
    """Returns the payloads of the record at `offset` and its end offset, or the problem found."""
    if len(raw) - offset < HEADER.size:
        return "record header is truncated"
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
    """Returns whether an invalid record may be the last append, interrupted by a crash.

    Parts of a write that did not reach the disk read as zeros. A complete header that is invalid
    and has no word of zeros can't come from an interrupted append.
    """
    header = raw[offset : offset + HEADER.size]
    words = [header[at : at + LENGTH.size] for at in range(0, len(header), LENGTH.size)]
    is_complete = len(header) == HEADER.size
    is_valid_header = is_complete and xxhash.xxh32_intdigest(words[0]) == LENGTH.unpack(words[1])[0]
    if is_complete and not is_valid_header and all(any(word) for word in words):
        return False
    return not _has_record_after(raw, offset)


def _has_record_after(raw: bytes, offset: int) -> bool:
    last = len(raw) - HEADER.size
    return any(not isinstance(_decode_record(raw, at), str) for at in range(offset + 1, last + 1))


def read_records(path: Path) -> Records | CorruptRecord:
    """Returns the records of a file up to a torn tail, or the damage found."""
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
    """Syncs a folder, so that files created or renamed in it survive a crash."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def write_atomically(path: Path, data: bytes) -> None:
    """Replaces a file atomically: writes and syncs a temporary file, then renames it.

    The folder is synced as well, so that the rename survives a crash.
    """
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
    """An append-only file of records."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.size = 0
        self._fd = -1

    def open(self, end: int) -> None:
        """Opens the file for appending at the offset `end` and truncates the rest."""
        self._fd = os.open(self.path, os.O_RDWR | os.O_CREAT, 0o600)
        os.ftruncate(self._fd, end)
        os.lseek(self._fd, end, os.SEEK_SET)
        os.fsync(self._fd)
        sync_folder(self.path.parent)
        self.size = end

    def append(self, payloads: list[bytes]) -> None:
        """Appends the payloads as one record and returns after the file is synced.

        On OSError the file is truncated to its previous size, and the error is raised.
        """
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
        """Closes the file if it is open."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1
