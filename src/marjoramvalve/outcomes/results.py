"""Result types of operations that can fail in expected ways."""

from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Ok(Generic[T]):
    """A success with its value."""

    value: T


@dataclass(frozen=True, slots=True)
class Fault:
    """One error in the settings or in a document.

    `id` is a stable identifier to search for, `path` locates the invalid item, `value` is the
    invalid value as text and `hint` says how to fix it.
    """

    id: str
    path: str
    value: str
    message: str
    hint: str = ""

    def __str__(self) -> str:
        hint = f" ({self.hint})" if self.hint else ""
        return f"{self.id}: {self.path}: {self.message}, got {self.value!r}{hint}"


@dataclass(frozen=True, slots=True)
class Err:
    """A failure with all faults found."""

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return "; ".join(str(fault) for fault in self.faults)


Result = Ok[T] | Err
