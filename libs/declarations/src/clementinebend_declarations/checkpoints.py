"""Encoding and verification of configuration checkpoints.

A checkpoint holds a whole state. Its digest covers a summary, which contains
the digest of the document; both are verified before a checkpoint is used.
"""

from json import JSONDecodeError, loads
from typing import Any

from expression import Error, Ok, Result
from msgspec import ValidationError, convert

from clementinebend_declarations.deltas import document_digest
from clementinebend_declarations.documents import check_document
from clementinebend_declarations.exceptions import CheckpointError
from clementinebend_declarations.models import Configuration, Declarations
from clementinebend_declarations.plain_values import (
    canonical_digest,
    canonical_json,
    is_plain_value,
)
from clementinebend_declarations.state import AuditEntry, ConfigurationState
from clementinebend_records.codec import SCHEMA_VERSION
from clementinebend_records.records import Checkpoint
from clementinebend_records.streams import CONFIGURATION_STREAM

DOCUMENT_KEY = "document"
SUMMARY_KEY = "summary"


def configuration_digest(state: ConfigurationState) -> str:
    """Return the digest of a state; all nodes have the same one at an offset."""
    return canonical_digest(_summarize(state))


def configuration_checkpoint(state: ConfigurationState) -> Checkpoint:
    """Return a checkpoint of a state, for the stream or for a peer."""
    digest = configuration_digest(state)
    data = encode_configuration_state(state)
    return Checkpoint(CONFIGURATION_STREAM, state.offset, digest, data)


def restore_configuration(
    checkpoint: Checkpoint, current: ConfigurationState | None = None
) -> ConfigurationState:
    """Return the state in a checkpoint, or ``current`` unless that is older.

    Raises ``CheckpointError`` if the checkpoint is damaged. The state may have
    activated a schema that this node cannot read; replay reports that with the
    next batch.
    """
    match decode_configuration_state(checkpoint.state):
        case Result(tag="ok", ok=restored):
            digest = configuration_digest(restored)
        case Result(error=reason):
            raise CheckpointError(f"checkpoint at {checkpoint.offset}: {reason}")
    if (restored.offset, digest) != (checkpoint.offset, checkpoint.digest):
        prefix = f"checkpoint at {checkpoint.offset}"
        raise CheckpointError(f"{prefix}: offset or digest of the state does not match")
    return restored if current is None else newer_state(current, restored)


def newer_state(
    current: ConfigurationState, other: ConfigurationState
) -> ConfigurationState:
    """Return the state that has replayed more of the stream."""
    return other if other.offset > current.offset else current


def encode_configuration_state(state: ConfigurationState) -> bytes:
    """Return a state as canonical JSON."""
    return canonical_json(
        {SUMMARY_KEY: _summarize(state), DOCUMENT_KEY: state.document}
    ).encode()


def decode_configuration_state(data: bytes) -> Result[ConfigurationState, str]:
    """Return the state that another node encoded, or why it is invalid."""
    try:
        value = loads(data)
        summary, document = value[SUMMARY_KEY], value[DOCUMENT_KEY]
        state = _decode_state(summary, document)
    except (JSONDecodeError, UnicodeDecodeError, ValidationError) as error:
        return Error(f"invalid encoding ({error})")
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        return Error(f"invalid structure ({error})")
    if document_digest(document) != state.configuration.digest:
        return Error("digest of the document does not match the summary")
    return Ok(state)


def _summarize(state: ConfigurationState) -> dict[str, Any]:
    configuration = state.configuration
    return {
        "revision": configuration.revision,
        "activated_schema": configuration.activated_schema,
        "schema_version": configuration.schema_version,
        "digest": configuration.digest,
        "offset": state.offset,
        "sequences": [list(item) for item in state.sequences.items()],
        "audit": [list(entry) for entry in state.audit],
    }


def _decode_state(summary: dict[str, Any], document: Any) -> ConfigurationState:
    if not isinstance(document, dict) or not is_plain_value(document):
        raise ValueError("the document is not a mapping of plain values")
    schema_version = convert(summary["schema_version"], int)
    configuration = Configuration(
        revision=convert(summary["revision"], int),
        activated_schema=convert(summary["activated_schema"], int),
        schema_version=schema_version,
        digest=convert(summary["digest"], str),
        declarations=_decode_declarations(document, schema_version),
    )
    return ConfigurationState(
        configuration=configuration,
        document=document,
        offset=convert(summary["offset"], int),
        sequences=dict(convert(summary["sequences"], tuple[tuple[str, int], ...])),
        audit=convert(summary["audit"], tuple[AuditEntry, ...]),
        digests={},
    )


def _decode_declarations(document: dict[str, Any], schema_version: int) -> Declarations:
    """Return the declarations; empty ones if this node cannot read the schema."""
    if schema_version > SCHEMA_VERSION:
        return Declarations()
    match check_document(document):
        case Result(tag="ok", ok=declarations):
            return declarations
        case Result(error=errors):
            raise ValueError("; ".join(str(error) for error in errors))
    raise AssertionError("a result is ok or an error")
