"""Identity of a controller: stored in its data folder, and generated if the folder is empty.

A controller that lost its folder must not vote under its previous name because it no longer knows
which votes it gave. Only the founders have names that the other controllers know in advance.
"""

import random
from dataclasses import dataclass
from pathlib import Path

import msgspec

from marjoramvalve.storage.records import encode_record, read_records, write_atomically

IDENTITY_FILE = "identity"
FOUNDER = "founder"


class Identity(msgspec.Struct, frozen=True):
    """Name in the group, and the initial members if this controller is a founder.

    `first` maps the names of the founders to their addresses.
    """

    name: str
    first: dict[str, str]


@dataclass(frozen=True, slots=True)
class BootstrapOptions:
    """How a controller with an empty folder starts. `seeds` are link addresses.

    It founds the group if `is_first_start` is set and its own address is one of the seeds.
    """

    address: str
    seeds: tuple[str, ...]
    is_first_start: bool


def founder_name(address: str) -> str:
    """Returns the name of the founder at a link address."""
    return f"{address}/{FOUNDER}"


def load_identity(folder: Path, options: BootstrapOptions, rng: random.Random) -> Identity:
    """Returns the identity stored in a folder; an empty folder gets a new one, synced to disk.

    Raises OSError.
    """
    path = folder / IDENTITY_FILE
    if path.exists():
        records = read_records(path)
        payloads = getattr(records, "payloads", ())
        if payloads:
            return msgspec.msgpack.decode(payloads[0], type=Identity)
    is_founder = options.is_first_start and options.address in options.seeds
    if is_founder:
        first = {founder_name(seed): seed for seed in options.seeds}
        identity = Identity(founder_name(options.address), first)
    else:
        identity = Identity(f"{options.address}/{rng.getrandbits(64):016x}", {})
    write_atomically(path, encode_record(msgspec.msgpack.encode(identity)))
    return identity
