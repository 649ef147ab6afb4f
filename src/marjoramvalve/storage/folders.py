"""The data folder: a lock file, one snapshot and one log of the records that follow it."""

import fcntl
import os
from dataclasses import dataclass
from pathlib import Path

from marjoramvalve.storage.records import (
    CorruptRecord,
    RecordFile,
    Records,
    encode_record,
    read_records,
    sync_folder,
    write_atomically,
)

LOCK_NAME = "lock"
SNAPSHOT_NAME = "snapshot"
LOG_NAME = "log"


@dataclass(frozen=True, slots=True)
class FolderLocked:
    """Another process has the folder open."""

    path: Path


@dataclass(frozen=True, slots=True)
class RecoveredData:
    """Contents of a folder when it was opened.

    `snapshot` is None if there was no snapshot. `torn_bytes` were truncated from the log, and
    `bytes_read` counts the intact bytes of both files.
    """

    snapshot: bytes | None
    payloads: tuple[bytes, ...]
    torn_bytes: int
    bytes_read: int


class DataFolder:
    """An open data folder, locked so that no other process writes to it."""

    def __init__(self, path: Path, lock_fd: int, log: RecordFile) -> None:
        self.path = path
        self.log = log
        self._lock_fd = lock_fd

    def append(self, payloads: list[bytes]) -> None:
        """Appends a batch of records to the log and syncs it. Raises OSError."""
        self.log.append(payloads)

    def write_snapshot(self, snapshot: bytes, payloads: list[bytes]) -> None:
        """Replaces the snapshot, then the log. Raises OSError.

        A crash between the two leaves the new snapshot with the old log. Recovery then skips the
        log entries up to the index of the snapshot.
        """
        write_atomically(self.path / SNAPSHOT_NAME, encode_record(snapshot))
        data = b"".join(encode_record(payload) for payload in payloads)
        self.log.close()
        write_atomically(self.path / LOG_NAME, data)
        self.log.open(len(data))

    def close(self) -> None:
        """Closes the log and releases the lock."""
        self.log.close()
        os.close(self._lock_fd)


def _lock(path: Path) -> int | None:
    fd = os.open(path / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(fd)
        return None
    return fd


def _read_if_exists(path: Path) -> Records | CorruptRecord:
    if not path.exists():
        return Records((), 0, 0)
    return read_records(path)


def _read_snapshot(path: Path) -> Records | CorruptRecord:
    found = _read_if_exists(path)
    if isinstance(found, Records) and found.torn_bytes:
        return CorruptRecord(path, found.end, "snapshot is incomplete")
    return found


def open_folder(path: Path) -> tuple[DataFolder, RecoveredData] | CorruptRecord | FolderLocked:
    """Locks and reads a data folder.

    Truncates a torn tail of the log. Other damage, or a lock held by another process, is returned.
    """
    lock_fd = _lock(path)
    if lock_fd is None:
        return FolderLocked(path)
    snapshot = _read_snapshot(path / SNAPSHOT_NAME)
    log = _read_if_exists(path / LOG_NAME)
    for found in (snapshot, log):
        if isinstance(found, CorruptRecord):
            os.close(lock_fd)
            return found
    file = RecordFile(path / LOG_NAME)
    file.open(log.end)
    sync_folder(path)
    snapshot_payload = snapshot.payloads[0] if snapshot.payloads else None
    recovered = RecoveredData(
        snapshot_payload, log.payloads, log.torn_bytes, snapshot.end + log.end
    )
    return DataFolder(path, lock_fd, file), recovered
