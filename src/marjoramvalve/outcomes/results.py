"""Result types returned by operations that may fail in an expected way."""

from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Ok(Generic[T]):
    """Success, holding the value."""

    value: T


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault in settings or in a document.

    `id` is stable and can be searched for, `path` names the faulty item, `value` is the
    offending value as text and `hint` tells how to mend it.
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
    """Failure, holding every fault found."""

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return "; ".join(str(fault) for fault in self.faults)


Result = Ok[T] | Err
