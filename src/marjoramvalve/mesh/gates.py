"""Admission of root calls by what they cause further down."""

from collections.abc import Callable


class RootGate:
    """Lets root calls in while the services below have room."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._pressure: dict[str, float] = {}

    def set_pressure(self, levels: dict[str, float]) -> None:
        """Takes in how full each service is."""
        self._pressure = levels

    def admit(self, route: bytes, service: str, rank: int) -> float:
        """Returns 0 where a root call is let in, or seconds to stay away."""
        return 0.0
