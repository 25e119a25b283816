"""Encoding of record batches and messages in msgpack.

A batch is ``[schema version, writer, sequence, records]``; each record and each
message is ``[tag, fields...]``. A reader fills fields that an older writer left
out with their defaults and drops fields that a newer writer added, so processes
of different schema versions work together. msgspec converts and checks the types.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple, cast

from msgpack import packb, unpackb
from msgspec import ValidationError, convert

from clementinebend_records.identifiers import Incarnation
from clementinebend_records.messages import MESSAGE_TYPES, Message
from clementinebend_records.records import RECORD_TYPES, Batch, Record

SCHEMA_VERSION = 2
"""The newest schema version of declarations and records that this code reads."""

_RECORD_TAGS = {kind: tag for tag, kind in enumerate(RECORD_TYPES)}
_MESSAGE_TAGS = {kind: tag for tag, kind in enumerate(MESSAGE_TYPES)}


class DecodeFailure(NamedTuple):
    """Reason why bytes cannot be decoded; returned, not raised."""

    reason: str


def encode_batch(batch: Batch) -> bytes:
    """Return the encoding of a batch, the payload of one append."""
    records = [[_RECORD_TAGS[type(record)], *record] for record in batch.records]
    return cast(bytes, packb([SCHEMA_VERSION, batch.writer, batch.sequence, records]))


def decode_batch(data: bytes) -> Batch | DecodeFailure:
    """Return the batch in one append, or why it cannot be decoded."""
    try:
        fields = unpackb(data)
        _, writer, sequence, rows = fields
        records = tuple(_decode_record(row) for row in rows)
        return Batch(Incarnation(convert(writer, str)), convert(sequence, int), records)
    except (ValueError, TypeError, IndexError, ValidationError) as error:
        return DecodeFailure(f"cannot decode record batch: {error}")


def encode_message(message: Message) -> bytes:
    """Return the encoding of a message."""
    return cast(bytes, packb([_MESSAGE_TAGS[type(message)], *message]))


def decode_message(fields: Any) -> Message | DecodeFailure:
    """Return the message in an unpacked msgpack array, or why it is invalid."""
    try:
        return cast(Message, _decode_row(MESSAGE_TYPES, fields))
    except (ValueError, TypeError, IndexError, ValidationError) as error:
        return DecodeFailure(f"cannot decode message: {error}")


def _decode_record(row: Sequence[Any]) -> Record:
    return cast(Record, _decode_row(RECORD_TYPES, row))


def _decode_row(types: tuple[type[Any], ...], row: Sequence[Any]) -> Any:
    tag, *fields = row
    if tag < 0:
        raise ValueError(f"negative tag {tag}")
    kind = types[tag]
    return convert(fields[: len(kind._fields)], kind)
