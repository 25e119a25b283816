"""An operator at work on a log in memory."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from clementinebend_declarations.documents import check_document
from clementinebend_declarations.replay import replay_configuration
from clementinebend_declarations.state import (
    ConfigurationState,
    empty_configuration_state,
)
from clementinebend_ledger.replay import LedgerState, empty_ledger, replay
from clementinebend_operator_cli.models.operator import Operator
from clementinebend_operator_cli.models.settings import OperatorSettings
from clementinebend_operator_cli.utils.declared import Declared
from clementinebend_records.identifiers import new_incarnation
from clementinebend_records.records import Batch, Record
from clementinebend_records.streams import CONFIGURATION_STREAM, ledger_stream
from clementinebend_transport.http_client import HttpClient
from tests.lib.fake_log import FakeLog

PATIENT = 60.0
IMPATIENT = 0.2
"""Seconds after which a command gives up, where a test has it give up."""

SHARDS = 2
AUTHOR = "jana"


@asynccontextmanager
async def operator_on(
    log: FakeLog, author: str = AUTHOR, patience: float = PATIENT
) -> AsyncIterator[Operator]:
    """Give an operator whose commands use ``log``."""
    settings = OperatorSettings(
        "http://127.0.0.1:1", ledger_shards=SHARDS, log_timeout_s=patience
    )
    http = HttpClient()
    try:
        yield Operator(settings, author, log.client(author), http)
    finally:
        await http.close()


def declared(document: dict[str, Any]) -> Declared:
    """Return a document that is right, checked."""
    return Declared(document, check_document(document).ok)


def put(log: FakeLog, stream: str, *records: Record) -> None:
    """Append records as somebody else, past all faults."""
    log.put(stream, Batch(new_incarnation("other"), 1, records))


def configuration(log: FakeLog) -> ConfigurationState:
    """Return the replay of the whole configuration stream."""
    state = empty_configuration_state()
    for offset, batch in log.batches(CONFIGURATION_STREAM):
        state, _ = replay_configuration(state, offset, batch)
    return state


def ledger(log: FakeLog, budget: str) -> LedgerState:
    """Return the replay of the ledger shard of a budget."""
    state = empty_ledger()
    for offset, batch in log.batches(ledger_stream(budget, SHARDS)):
        state, _ = replay(state, offset, batch)
    return state


def write_settings(path: Path, text: str) -> str:
    """Write a settings file and return its path."""
    path.write_text(text, encoding="utf-8")
    return str(path)
