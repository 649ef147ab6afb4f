"""How many requests an upstream may get beside the rate that it announces, by the users' rule."""

WINDOW_S = 4.0
EXCESS_FACTOR, EXCESS_REQUESTS = 1.5, 5


def allowed_in_window(rate_per_s):
    """Returns the most requests that an upstream may get in any window."""
    return EXCESS_FACTOR * rate_per_s * WINDOW_S + EXCESS_REQUESTS


def most_in_window(times, begin_s=float("-inf")):
    """Returns the largest number of times in a window that begins at one of them, or later."""
    return max(
        (sum(at <= t < at + WINDOW_S for t in times) for at in times if at >= begin_s), default=0
    )
