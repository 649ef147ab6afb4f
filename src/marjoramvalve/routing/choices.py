"""Choice of an upstream: a deterministic subset, then the better of two drawn ones.

Sources: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001); rendezvous
hashing for the subset, which moves little when upstreams come and go.
"""

import random
from dataclasses import dataclass

import xxhash

SUBSET_SIZE = 20
REMOTE_PENALTY = 0.25
SPILL_LOAD = 1.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may be chosen; `load` is comparable between candidates."""

    name: str
    load: float
    local: bool


def _score(caller: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{caller}\x00{name}".encode())


def subset(caller: str, upstreams: tuple[str, ...], size: int = SUBSET_SIZE) -> tuple[str, ...]:
    """Returns the upstreams that a caller uses, spread evenly over the callers."""
    if len(upstreams) <= size:
        return upstreams
    ranked = sorted(upstreams, key=lambda name: _score(caller, name))
    return tuple(sorted(ranked[:size]))


def _better_of_two(candidates: list[Candidate], rng: random.Random) -> Candidate:
    if len(candidates) <= 2:
        return min(candidates, key=lambda item: item.load)
    first, second = rng.sample(candidates, 2)
    return first if first.load <= second.load else second


def choose(candidates: list[Candidate], rng: random.Random) -> Candidate | None:
    """Returns the upstream for a call: the own failure domain unless its load is well above."""
    local = [item for item in candidates if item.local]
    remote = [item for item in candidates if not item.local]
    if not local or not remote:
        return _better_of_two(local or remote, rng) if candidates else None
    near = _better_of_two(local, rng)
    if near.load < SPILL_LOAD:
        return near
    far = _better_of_two(remote, rng)
    return far if far.load + REMOTE_PENALTY < near.load else near
