"""Load balancing: the less loaded of two random upstreams from a deterministic subset.

See Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001). The subset is
chosen by rendezvous hashing, so that it changes little when upstreams are added or removed.
"""

import random
from dataclasses import dataclass

import xxhash

SUBSET_SIZE = 20
REMOTE_PENALTY = 0.25
SPILLOVER_LOAD = 1.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may be chosen.

    `load` is comparable between candidates; `local` means in the caller's failure domain.
    """

    name: str
    load: float
    local: bool


def _score(caller: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{caller}\x00{name}".encode())


def subset(caller: str, upstreams: tuple[str, ...], size: int = SUBSET_SIZE) -> tuple[str, ...]:
    """Returns the upstreams that a caller uses.

    Different callers get different subsets, which spreads them evenly over the upstreams.
    """
    if len(upstreams) <= size:
        return upstreams
    ranked = sorted(upstreams, key=lambda name: _score(caller, name))
    return tuple(sorted(ranked[:size]))


def _better_of_two(candidates: list[Candidate], rng: random.Random) -> Candidate:
    if len(candidates) <= 2:
        return min(candidates, key=lambda candidate: candidate.load)
    first, second = rng.sample(candidates, 2)
    return first if first.load <= second.load else second


def choose(candidates: list[Candidate], rng: random.Random) -> Candidate | None:
    """Returns the upstream for a call, or None if there are no candidates.

    A local upstream is preferred. A remote one is chosen only if there is no local one, or if the
    load of the local one is at least `SPILLOVER_LOAD` and exceeds that of the remote one by more
    than `REMOTE_PENALTY`.
    """
    local = [candidate for candidate in candidates if candidate.local]
    remote = [candidate for candidate in candidates if not candidate.local]
    if not local or not remote:
        return _better_of_two(local or remote, rng) if candidates else None
    best_local = _better_of_two(local, rng)
    if best_local.load < SPILLOVER_LOAD:
        return best_local
    best_remote = _better_of_two(remote, rng)
    return best_remote if best_remote.load + REMOTE_PENALTY < best_local.load else best_local
