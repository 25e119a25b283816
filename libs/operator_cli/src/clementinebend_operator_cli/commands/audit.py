"""``clementinebend audit``: who changed what, when, and with what result."""

from collections.abc import Iterator
from functools import partial
from typing import Any

from expression import Error, Ok

from clementinebend_declarations.state import AuditEntry, ConfigurationState
from clementinebend_ledger.outcomes import (
    GrantAccepted,
    GrantRefused,
    HolderClosed,
    HolderReleased,
    HoldResolved,
    TopUpApplied,
)
from clementinebend_operator_cli.models.operator import Operator
from clementinebend_operator_cli.models.report import Outcome, Report
from clementinebend_operator_cli.utils.arguments import is_true, whole_number
from clementinebend_operator_cli.utils.following import read_stream
from clementinebend_operator_cli.utils.ledgers import Ledgers, read_ledgers
from clementinebend_operator_cli.utils.operators import with_operator
from clementinebend_operator_cli.utils.output import table
from clementinebend_operator_cli.utils.replicas import Step, configuration_replica
from clementinebend_records.records import HoldResolve, TopUp
from clementinebend_records.streams import ledger_streams

DEFAULT_LIMIT = 50
AUDITED = (
    TopUpApplied,
    GrantAccepted,
    GrantRefused,
    HolderClosed,
    HolderReleased,
    HoldResolved,
)
CONFIGURATION_HEAD = ("offset", "when", "author", "base", "revision", "result", "what")
LEDGER_HEAD = ("stream", "offset", "writer", "author", "event", "what")

Rows = list[dict[str, Any]]


async def audit(
    *, ledger: bool = False, limit: str = str(DEFAULT_LIMIT), settings: str = ""
) -> Outcome:
    """List configuration changes, the latest last, with refused ones.

    Args:
        ledger: List top-ups, grants, closes and resolves as well.
        limit: Entries to list at most, of each kind.
        settings: Settings file; else CLEMENTINEBEND_SETTINGS.

    """
    count = whole_number(limit, "--limit", lowest=1)
    if count.is_error():
        return Error(count.error)
    action = partial(audit_streams, with_ledger=is_true(ledger), limit=count.ok)
    return await with_operator(settings, "", action)


async def audit_streams(operator: Operator, with_ledger: bool, limit: int) -> Outcome:
    """Read the audit out of the streams."""
    read = await read_stream(operator, configuration_replica())
    if read.is_error():
        return Error(read.error)
    changes = _configuration_rows(read.ok.state)[-limit:]
    if not with_ledger:
        lines = _lines(CONFIGURATION_HEAD, changes)
        return Ok(Report(lines, {"configuration": changes}))
    shards = ledger_streams(operator.settings.ledger_shards)
    ledgers = await read_ledgers(operator, shards)
    if ledgers.is_error():
        return Error(ledgers.error)
    events = _ledger_rows(ledgers.ok)[-limit:]
    lines = (
        *_lines(CONFIGURATION_HEAD, changes),
        "",
        *_lines(LEDGER_HEAD, events),
    )
    return Ok(Report(lines, {"configuration": changes, "ledger": events}))


def _configuration_rows(state: ConfigurationState) -> Rows:
    return [_configuration_row(entry) for entry in state.audit]


def _configuration_row(entry: AuditEntry) -> dict[str, Any]:
    paths = ", ".join(entry.paths)
    what = entry.reason or paths or f"schema {entry.schema_version}"
    return entry._asdict() | {
        "when": entry.published_at,
        "base": entry.base_revision,
        "what": what,
    }


def _ledger_rows(ledgers: Ledgers) -> Rows:
    return [
        row
        for stream, replica in ledgers.items()
        for step in replica.history
        for row in _step_rows(stream, step)
    ]


def _step_rows(stream: str, step: Step) -> Iterator[dict[str, Any]]:
    for outcome in step.outcomes:
        if isinstance(outcome, AUDITED):
            fields = outcome._asdict()
            yield {
                "stream": stream,
                "offset": step.offset,
                "writer": step.batch.writer,
                "author": _author(step, outcome),
                "event": type(outcome).__name__,
                "what": ", ".join(f"{key} {value}" for key, value in fields.items()),
                "fields": fields,
            }


def _author(step: Step, outcome: Any) -> str:
    """Return who signed the record of an outcome, empty if nobody does."""
    if not isinstance(outcome, TopUpApplied | HoldResolved):
        return ""
    named = outcome.top_up if isinstance(outcome, TopUpApplied) else outcome.subject
    records = (
        record
        for record in step.batch.records
        if isinstance(record, TopUp | HoldResolve)
    )
    authors = (
        record.author
        for record in records
        if named in (getattr(record, "top_up", None), getattr(record, "subject", None))
    )
    return next(authors, "")


def _lines(head: tuple[str, ...], rows: Rows) -> tuple[str, ...]:
    return table(head, ([row[column] for column in head] for row in rows))
