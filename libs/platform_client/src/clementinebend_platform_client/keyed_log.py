"""A partition of the platform's store in which each key keeps its newest record.

``KeyedLog`` is the narrow interface; an adapter speaks the store's protocol.
Outcomes are values.
"""

from typing import NamedTuple, Protocol


class KeyedRecord(NamedTuple):
    """One record; an empty ``value`` means that the key was dropped."""

    offset: int
    key: str
    value: bytes


class Page(NamedTuple):
    """Records, the offset to read on from, and whether the log ends there."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    is_end: bool


class NewestPage(NamedTuple):
    """Newest records of the keys up to ``last_key``, or up to the last key there is.

    ``end_offset`` is where the log ended. Without a ``last_key`` no keys are left.
    """

    records: tuple[KeyedRecord, ...]
    end_offset: int
    last_key: str | None = None


class Appended(NamedTuple):
    """The records stand in the log; it ends at ``end_offset``."""

    end_offset: int


class Conflict(NamedTuple):
    """The log did not end where the writer thought; nothing was written."""

    end_offset: int


class RecordsDropped(NamedTuple):
    """The records asked for are gone: the newest of each key must be read."""

    first_offset: int


class StoreFailure(NamedTuple):
    """No usable answer; with ``maybe_done`` an append may still take effect."""

    maybe_done: bool
    message: str


class KeyedLog(Protocol):
    """One partition of a topic in the store. Times are in seconds."""

    async def append(
        self, records: tuple[tuple[str, bytes], ...], expected_end: int | None
    ) -> Appended | Conflict | StoreFailure:
        """Append all records or none.

        With ``expected_end`` they are appended only if the log ends there.
        """
        ...

    async def read(
        self, offset: int, wait: float
    ) -> Page | RecordsDropped | StoreFailure:
        """Return records from ``offset`` on; wait up to ``wait`` for a first one."""
        ...

    async def newest(
        self, after: str = "", patience: float = 0.0
    ) -> NewestPage | StoreFailure:
        """Return newest records of the keys behind ``after``, in their order.

        The answer may begin ``patience`` seconds later than usual.
        """
        ...
