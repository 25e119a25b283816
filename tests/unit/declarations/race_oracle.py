"""A plain loop over the log that tells who wins, and the edits in the race."""

from collections.abc import Callable
from typing import Any, NamedTuple

from clementinebend_records.records import Batch, Publication


class Pending(NamedTuple):
    """A batch that its operator has not read back yet."""

    batch: Batch
    valid: bool


class Entry(NamedTuple):
    """What the oracle needs to know of one append."""

    batch: Batch
    valid: bool


class Oracle(NamedTuple):
    """Revision, activated schema and winners by a plain loop over the log."""

    revision: int
    activated: int
    winners: dict[int, int]


def oracle(log: list[Entry]) -> Oracle:
    """Accept each batch once, on its base only, and only if it is valid."""
    seen: set[tuple[str, int]] = set()
    state = Oracle(0, 1, {})
    for offset, (batch, valid) in enumerate(log):
        identity = (batch.writer, batch.sequence)
        record: Any = batch.records[0]
        is_new = identity not in seen
        seen.add(identity)
        base = getattr(record, "base_revision", None)
        if not (is_new and valid and base == state.revision):
            continue
        activated = state.activated
        if not isinstance(record, Publication):
            activated = record.schema_version
        revision = state.revision + 1
        state = Oracle(revision, activated, state.winners | {revision: offset})
    return state


def add_team(changed: dict[str, Any], number: int) -> bool:
    changed.setdefault("teams", {})[f"team-{number}"] = {"key_digests": []}
    return True


def add_top_up(changed: dict[str, Any], number: int) -> bool:
    top_up = {"id": f"top-{number}", "tokens": 1 + number}
    budget = changed["budgets"]["kosice-lookups"]
    budget["top_ups"] = [*budget["top_ups"], top_up]
    return True


def change_top_up(changed: dict[str, Any], number: int) -> bool:
    changed["budgets"]["kosice-lookups"]["top_ups"][0]["tokens"] += 1 + number
    return False


def break_reference(changed: dict[str, Any], number: int) -> bool:
    changed["endpoints"]["engine-1"]["service"] = f"none-{number}"
    return False


EDITS: tuple[Callable[[dict[str, Any], int], bool], ...] = (
    add_team,
    add_team,
    add_top_up,
    change_top_up,
    break_reference,
)
