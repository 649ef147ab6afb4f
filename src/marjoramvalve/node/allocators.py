"""The memory allocator of a process."""

import ctypes

M_MMAP_THRESHOLD = -3  # A parameter of mallopt in the C library.
LARGE_BUFFER_BYTES = 1 << 20


def keep_large_buffers_apart() -> bool:
    """Lets the C library return each large buffer to the system as soon as it is freed.

    Otherwise it puts them between others once one was freed, and what crowds of large bodies leave
    behind adds to the memory of the process. Returns whether the C library allows it.
    """
    try:
        return bool(ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES))
    except (OSError, AttributeError):
        return False
