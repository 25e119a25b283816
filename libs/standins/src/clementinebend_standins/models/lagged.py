"""Values that readers see some time after they were set."""

from collections import deque
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")

HISTORY_LENGTH = 10_000
"""Changes kept; a lag that reaches further back shows the oldest of these."""


class Change(NamedTuple, Generic[T]):
    """A value and when it was set, in monotonic seconds."""

    at: float
    value: T


class Lagged(NamedTuple, Generic[T]):
    """The latest changes of one value, oldest first; never empty."""

    changes: deque[Change[T]]


def empty_lagged(initial: T) -> Lagged[T]:
    """Return a history in which ``initial`` has always been visible."""
    first = Change(float("-inf"), initial)
    return Lagged(deque((first,), maxlen=HISTORY_LENGTH))


def set_value(lagged: Lagged[T], value: T, now: float) -> Lagged[T]:
    """Add a change at ``now``."""
    lagged.changes.append(Change(now, value))
    return lagged


def visible_value(lagged: Lagged[T], now: float, lag: float) -> T:
    """Return the newest value that is at least ``lag`` seconds old."""
    old = (change for change in reversed(lagged.changes) if change.at <= now - lag)
    return next(old, lagged.changes[0]).value
