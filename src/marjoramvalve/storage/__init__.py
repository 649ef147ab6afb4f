"""Durable state of a controller: one folder, synced before any acknowledgement."""

from marjoramvalve.storage.folders import DataFolder, FolderLocked, Recovered, open_folder
from marjoramvalve.storage.records import CorruptRecord, RecordFile, read_records

__all__ = [
    "CorruptRecord",
    "DataFolder",
    "FolderLocked",
    "RecordFile",
    "Recovered",
    "open_folder",
    "read_records",
]
