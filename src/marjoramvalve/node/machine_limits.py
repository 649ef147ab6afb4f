"""Limits of a machine whose settings don't name them."""

import os
import resource
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

# A process of unknown surroundings takes no more, since it may share its machine with others.
MAX_ASSUMED_MEMORY_MB = 512
CGROUP_FOLDER = Path("/sys/fs/cgroup")
MIB = 1 << 20


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """What a process may use: memory in MB, and open descriptors.

    `is_memory_assumed` tells that the settings named no memory.
    """

    memory_mb: int
    max_descriptors: int
    is_memory_assumed: bool = False


def resolve_limits(
    memory_mb: int,
    max_descriptors: int,
    read_memory_mb: Callable[[], int] | None = None,
) -> ProcessLimits:
    """Returns the limits of the settings; what these leave at 0 is taken from the system."""
    if not max_descriptors:
        soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        max_descriptors = 0 if soft_limit == resource.RLIM_INFINITY else soft_limit
    if memory_mb:
        return ProcessLimits(memory_mb, max_descriptors)
    available_mb = (read_memory_mb or read_available_mb)()
    return ProcessLimits(min(available_mb, MAX_ASSUMED_MEMORY_MB), max_descriptors, True)


def read_available_mb() -> int:
    """Returns the least of the memory of the machine, of the control group and of the process."""
    return max(1, min(_memory_limits(), default=MAX_ASSUMED_MEMORY_MB * MIB) // MIB)


def _memory_limits() -> Iterator[int]:
    try:
        yield os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    except (OSError, ValueError):
        pass
    for kind in (resource.RLIMIT_AS, resource.RLIMIT_DATA):
        limit = resource.getrlimit(kind)[0]
        if limit != resource.RLIM_INFINITY:
            yield limit
    for name in ("memory.max", "memory/memory.limit_in_bytes"):
        try:
            text = (CGROUP_FOLDER / name).read_text().strip()
        except OSError:
            continue
        if text.isdigit():
            yield int(text)
