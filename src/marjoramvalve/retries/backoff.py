"""When to tell a refused caller to come back."""

import random

MIN_DELAY_S = 0.1
MAX_DELAY_S = 30.0


def retry_after(base_s: float, rng: random.Random) -> float:
    """Returns a delay in seconds, spread evenly over one to two times the base."""
    base = min(MAX_DELAY_S, max(MIN_DELAY_S, base_s))
    return base * (1 + rng.random())
