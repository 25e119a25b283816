"""Faults that can be switched while a stand-in runs."""

from collections.abc import Callable
from typing import Any, Generic, NamedTuple, TypeVar

from msgspec import DecodeError, ValidationError, convert
from msgspec.json import decode

F = TypeVar("F", bound=tuple[Any, ...])


class FaultError(NamedTuple):
    """Why a change of faults was refused; names what is allowed."""

    message: str


class FaultSwitch(Generic[F]):
    """Holds the faults in force, a NamedTuple whose fields are the fault keys."""

    def __init__(self, values: F, on_change: Callable[[], None] = lambda: None):
        self.values = values
        self.on_change = on_change

    def change(self, body: bytes) -> FaultError | None:
        """Set the faults in a JSON object and leave the others as they are."""
        changed = changed_faults(self.values, body)
        if isinstance(changed, FaultError):
            return changed
        self.values = changed
        self.on_change()
        return None

    def use(self, key: str) -> bool:
        """Return whether the counted fault ``key`` strikes, and count it down."""
        left: int = getattr(self.values, key)
        if left > 0:
            self.values = fields_of(self.values)._replace(**{key: left - 1})
        return left > 0


def fields_of(values: tuple[Any, ...]) -> Any:
    """Return a NamedTuple as such, for access to its field helpers."""
    return values


def changed_faults(values: F, body: bytes) -> F | FaultError:
    """Return the faults after the changes in a JSON object."""
    allowed = fields_of(values)._fields
    try:
        changes = decode(body, type=dict[str, Any])
        unknown = sorted(changes.keys() - set(allowed))
        if unknown:
            names = ", ".join(allowed)
            return FaultError(f"unknown fault {unknown[0]!r}; allowed: {names}")
        wanted = list(fields_of(values)._replace(**changes))
        converted: F = convert(wanted, type(values))
        return converted
    except (DecodeError, ValidationError, RecursionError) as error:
        return FaultError(f"cannot read faults: {error}; allowed: {', '.join(allowed)}")
