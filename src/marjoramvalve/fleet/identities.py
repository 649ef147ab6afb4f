"""Identity of a controller: kept in its folder, new whenever the folder is empty.

A controller that lost its folder must not vote under the name it had: it no longer knows what it
promised. The founders alone take a name that the others know beforehand.
"""

import random
from dataclasses import dataclass
from pathlib import Path

import msgspec

from marjoramvalve.storage.records import encode_record, read_records, write_synced

IDENTITY_FILE = "identity"
FOUNDER = "founder"


class Identity(msgspec.Struct, frozen=True):
    """Name in the group, and the first members where this controller founded it."""

    name: str
    first: dict[str, str]


@dataclass(frozen=True, slots=True)
class BootstrapOptions:
    """How a controller with an empty folder begins. `seeds` are link addresses."""

    address: str
    seeds: tuple[str, ...]
    is_first_start: bool


def founder_name(address: str) -> str:
    """Returns the name of the founder at an address."""
    return f"{address}/{FOUNDER}"


def load_identity(folder: Path, founding: BootstrapOptions, rng: random.Random) -> Identity:
    """Returns the identity of a folder; an empty folder gets a new one, synced. Raises OSError."""
    path = folder / IDENTITY_FILE
    if path.exists():
        records = read_records(path)
        payloads = getattr(records, "payloads", ())
        if payloads:
            return msgspec.msgpack.decode(payloads[0], type=Identity)
    founds = founding.is_first_start and founding.address in founding.seeds
    if founds:
        first = {founder_name(seed): seed for seed in founding.seeds}
        identity = Identity(founder_name(founding.address), first)
    else:
        identity = Identity(f"{founding.address}/{rng.getrandbits(64):016x}", {})
    write_synced(path, encode_record(msgspec.msgpack.encode(identity)))
    return identity
