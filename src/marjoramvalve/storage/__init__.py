"""Durable state of a controller, kept in one folder and synced before it is acknowledged."""

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
