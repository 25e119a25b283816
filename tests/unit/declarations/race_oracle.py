"""A simple oracle for replay of the configuration, and edits for its tests."""

from collections.abc import Callable
from typing import Any, NamedTuple

from clementinebend_records.records import Batch, Publication


class Pending(NamedTuple):
    """A batch that its operator has not read back."""

    batch: Batch
    valid: bool


class Entry(NamedTuple):
    """One append, and whether its record is valid."""

    batch: Batch
    valid: bool


class OracleState(NamedTuple):
    """Expected revision, activated schema and offset of each revision."""

    revision: int
    activated: int
    winners: dict[int, int]


def run_oracle(log: list[Entry]) -> OracleState:
    """Return the state after accepting each valid batch once, on its base only."""
    seen_batches: set[tuple[str, int]] = set()
    state = OracleState(0, 1, {})
    for offset, (batch, valid) in enumerate(log):
        batch_id = (batch.writer, batch.sequence)
        record: Any = batch.records[0]
        is_new = batch_id not in seen_batches
        seen_batches.add(batch_id)
        base = getattr(record, "base_revision", None)
        if not (is_new and valid and base == state.revision):
            continue
        activated = state.activated
        if not isinstance(record, Publication):
            activated = record.schema_version
        revision = state.revision + 1
        state = OracleState(revision, activated, state.winners | {revision: offset})
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
