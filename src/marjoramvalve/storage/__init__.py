"""Durable state of a controller: one folder, synced before any acknowledgement."""

from marjoramvalve.storage.folders import DataFolder, FolderLocked, RecoveredData, open_folder
from marjoramvalve.storage.records import CorruptRecord, RecordFile, read_records

__all__ = [
    "CorruptRecord",
    "DataFolder",
    "FolderLocked",
    "RecordFile",
    "RecoveredData",
    "open_folder",
    "read_records",
]
