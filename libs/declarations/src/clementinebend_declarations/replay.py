"""Replay of the configuration stream, with the same state on every node.

Each accepted publication or activation raises the revision by one; it never
decreases.
"""

from functools import singledispatch
from itertools import islice
from typing import Any

from expression import Result

from clementinebend_declarations.checkpoints import (
    configuration_checkpoint,
    configuration_digest,
    restore_configuration,
)
from clementinebend_declarations.publications import (
    AcceptedPublication,
    first_paths,
    validate_activation,
    validate_publication,
)
from clementinebend_declarations.state import (
    Activated,
    AuditEntry,
    AuditResult,
    ConfigurationOutcome,
    ConfigurationState,
    Conflict,
    Diverged,
    Published,
    Rejected,
    UnsupportedSchema,
    configuration_of,
    empty_configuration_state,
)
from clementinebend_records.codec import SCHEMA_VERSION
from clementinebend_records.identifiers import process_name_of
from clementinebend_records.records import (
    Batch,
    Checkpoint,
    Publication,
    SchemaActivation,
)

__all__ = [
    "configuration_checkpoint",
    "configuration_digest",
    "configuration_of",
    "empty_configuration_state",
    "replay_configuration",
    "restore_configuration",
]

MAX_WRITERS = 1024
"""Maximum number of writers whose last sequence is kept, the most recent ones.

A repeated batch of a dropped writer is still a conflict, since its base revision
is no longer in force.
"""

MAX_AUDIT_ENTRIES = 100
MAX_DIGESTS = 64
MAX_TEXT_LENGTH = 200
MAX_AUDITED_PATHS = 10

ReplayResult = tuple[ConfigurationState, tuple[ConfigurationOutcome, ...]]


def replay_configuration(
    state: ConfigurationState,
    offset: int,
    batch: Batch,
    max_readable_schema: int = SCHEMA_VERSION,
) -> ReplayResult:
    """Apply the batch at ``offset`` and return the outcomes of its records.

    A node that reads schemas up to ``max_readable_schema`` stops at the first
    activation above it and gets an ``UnsupportedSchema`` outcome for every batch.
    """
    activated = state.configuration.activated_schema
    if activated > max_readable_schema:
        return state, (UnsupportedSchema(activated),)
    if offset <= state.offset:
        return state, ()
    state = state._replace(offset=offset)
    if batch.sequence <= state.sequences.get(batch.writer, 0):
        return _with_state_digest(state), ()
    state = state._replace(sequences=_updated_sequences(state.sequences, batch))
    state, outcomes = _apply_batch(state, batch)
    activated = state.configuration.activated_schema
    if activated > max_readable_schema:
        outcomes = (*outcomes, UnsupportedSchema(activated))
    return _with_state_digest(state), outcomes


def _apply_batch(state: ConfigurationState, batch: Batch) -> ReplayResult:
    """Apply records in order and stop after an activation.

    A node that stops at an activation then has the same state at that offset as
    all other nodes.
    """
    activated = state.configuration.activated_schema
    outcomes: list[ConfigurationOutcome] = []
    for record in batch.records:
        if state.configuration.activated_schema != activated:
            reason = "an activation must be the last record of its batch"
            outcomes.append(
                Rejected(reason, state.offset, process_name_of(batch.writer))
            )
            break
        state, record_outcomes = _apply(record, state)
        outcomes.extend(record_outcomes)
    return state, tuple(outcomes)


@singledispatch
def _apply(record: Any, state: ConfigurationState) -> ReplayResult:
    """Return the state after one record; records of other streams have no effect."""
    return state, ()


@_apply.register
def _(record: Publication, state: ConfigurationState) -> ReplayResult:
    configuration = state.configuration
    if record.base_revision != configuration.revision:
        return _conflict(record, state)
    match validate_publication(configuration, state.document, record):
        case Result(tag="ok", ok=accepted):
            return _publish(record, state, accepted)
        case Result(error=reason):
            return _reject(record, state, reason)
    raise AssertionError("a result is ok or an error")


@_apply.register
def _(record: SchemaActivation, state: ConfigurationState) -> ReplayResult:
    configuration = state.configuration
    if record.base_revision != configuration.revision:
        return _conflict(record, state)
    match validate_activation(configuration, record):
        case Result(tag="ok", ok=version):
            return _activate(record, state, version)
        case Result(error=reason):
            return _reject(record, state, reason)
    raise AssertionError("a result is ok or an error")


@_apply.register
def _(record: Checkpoint, state: ConfigurationState) -> ReplayResult:
    expected = state.digests.get(record.offset, record.digest)
    if expected == record.digest:
        return state, ()
    return state, (Diverged(record.offset, expected, record.digest),)


def _publish(
    record: Publication, state: ConfigurationState, accepted: AcceptedPublication
) -> ReplayResult:
    configuration = state.configuration._replace(
        revision=record.base_revision + 1,
        schema_version=record.schema_version,
        digest=record.digest,
        declarations=accepted.declarations,
    )
    state = state._replace(configuration=configuration, document=accepted.document)
    state = _with_audit_entry(record, state, AuditResult.PUBLISHED)
    outcome = Published(configuration.revision, state.offset, record.author)
    return state, (outcome,)


def _activate(
    record: SchemaActivation, state: ConfigurationState, version: int
) -> ReplayResult:
    configuration = state.configuration._replace(
        revision=record.base_revision + 1, activated_schema=version
    )
    state = state._replace(configuration=configuration)
    state = _with_audit_entry(record, state, AuditResult.ACTIVATED)
    revision = configuration.revision
    return state, (Activated(version, revision, state.offset, record.author),)


def _conflict(
    record: Publication | SchemaActivation, state: ConfigurationState
) -> ReplayResult:
    revision = state.configuration.revision
    outcome = Conflict(record.base_revision, revision, state.offset, record.author)
    return _with_audit_entry(record, state, AuditResult.CONFLICT), (outcome,)


def _reject(
    record: Publication | SchemaActivation, state: ConfigurationState, reason: str
) -> ReplayResult:
    outcome = Rejected(reason, state.offset, record.author)
    return _with_audit_entry(record, state, AuditResult.REJECTED, reason), (outcome,)


def _with_audit_entry(
    record: Publication | SchemaActivation,
    state: ConfigurationState,
    result: AuditResult,
    reason: str = "",
) -> ConfigurationState:
    entry = AuditEntry(
        offset=state.offset,
        author=record.author[:MAX_TEXT_LENGTH],
        published_at=record.published_at[:MAX_TEXT_LENGTH],
        source=_source(record)[:MAX_TEXT_LENGTH],
        base_revision=record.base_revision,
        revision=state.configuration.revision,
        schema_version=record.schema_version,
        result=result,
        reason=reason[:MAX_TEXT_LENGTH],
        paths=_audited_paths(record),
    )
    return state._replace(audit=(*state.audit, entry)[-MAX_AUDIT_ENTRIES:])


def _source(record: Publication | SchemaActivation) -> str:
    return record.source if isinstance(record, Publication) else ""


def _audited_paths(record: Publication | SchemaActivation) -> tuple[str, ...]:
    if isinstance(record, SchemaActivation):
        return ()
    paths = first_paths(record.changes, MAX_AUDITED_PATHS)
    return tuple(path[:MAX_TEXT_LENGTH] for path in paths)


def _updated_sequences(sequences: dict[str, int], batch: Batch) -> dict[str, int]:
    remaining = {name: last for name, last in sequences.items() if name != batch.writer}
    remaining[batch.writer] = batch.sequence
    surplus = max(0, len(remaining) - MAX_WRITERS)
    return dict(islice(remaining.items(), surplus, None))


def _with_state_digest(state: ConfigurationState) -> ConfigurationState:
    digests = state.digests | {state.offset: configuration_digest(state)}
    surplus = max(0, len(digests) - MAX_DIGESTS)
    return state._replace(digests=dict(islice(digests.items(), surplus, None)))
