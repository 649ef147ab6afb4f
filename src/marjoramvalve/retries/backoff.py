"""Delays after which a refused caller should retry."""

import random

MIN_DELAY_S = 0.1
MAX_DELAY_S = 30.0


def retry_after(base_s: float, rng: random.Random) -> float:
    """Returns a random delay in seconds, uniform between one and two times the base.

    The base is first limited to `MIN_DELAY_S` to `MAX_DELAY_S`.
    """
    base = min(MAX_DELAY_S, max(MIN_DELAY_S, base_s))
    return base * (1 + rng.random())
