"""Replay of recorded ledger streams, compared with their expected outcomes."""

from json import loads
from pathlib import Path
from typing import Any

import pytest
from msgpack import packb, unpackb
from msgspec import convert

from clementinebend_ledger.outcomes import LedgerOutcome
from clementinebend_ledger.replay import (
    budget_summary,
    empty_ledger,
    ledger_checkpoint,
    ledger_digest,
    replay,
    restore_ledger,
)
from clementinebend_records import records as record_types
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import Batch, Record

TRACES = sorted(Path(__file__).parents[2].glob("data/ledger/*.json"))


def record_of(row: list[Any]) -> Record:
    name, *fields = row
    record: Record = convert(fields, getattr(record_types, name), strict=False)
    return record


def batch_of(step: dict[str, Any]) -> Batch:
    rows = tuple(record_of(row) for row in step["records"])
    return Batch(Incarnation(step["writer"]), step["sequence"], rows)


def row_of(outcome: LedgerOutcome) -> list[Any]:
    fields: list[Any] = unpackb(packb(outcome))
    return [type(outcome).__name__, *fields]


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace_has_its_expected_outcomes(path: Path) -> None:
    trace = loads(path.read_text())
    batches = [batch_of(step) for step in trace["steps"]]
    state = empty_ledger()
    checkpoints = [ledger_checkpoint(state, "ledger-0")]
    for offset, step in enumerate(trace["steps"]):
        state, outcomes = replay(state, offset, batches[offset])
        assert [row_of(outcome) for outcome in outcomes] == step["outcomes"]
        checkpoints.append(ledger_checkpoint(state, "ledger-0"))
    for budget, accounts in trace["summary"].items():
        assert list(budget_summary(state, budget)) == accounts
    for checkpoint in checkpoints:
        reader = restore_ledger(checkpoint)
        for offset in range(checkpoint.offset + 1, len(batches)):
            reader, _ = replay(reader, offset, batches[offset])
        assert ledger_digest(reader) == ledger_digest(state)


def test_all_traces_are_found() -> None:
    assert len(TRACES) == 5
