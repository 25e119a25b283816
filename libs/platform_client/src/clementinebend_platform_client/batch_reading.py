"""Telling bytes that no version can read from those of a newer version.

All versions skip the former alike. The latter may change the state, so a
reader that cannot read them must stop there.
"""

from typing import Any, NamedTuple

from msgpack import unpackb

from clementinebend_records.codec import SCHEMA_VERSION, DecodeFailure, decode_batch
from clementinebend_records.records import Batch

BATCH_FIELDS = 4


class Newer(NamedTuple):
    """A batch written under a newer schema that this version cannot read."""

    schema_version: int


def read_batch(data: bytes) -> Batch | Newer | DecodeFailure:
    """Return the batch in the bytes of one append, or why there is none."""
    batch = decode_batch(data)
    if isinstance(batch, Batch):
        return batch
    version = _version_of(data)
    return Newer(version) if version > SCHEMA_VERSION else batch


def _version_of(data: bytes) -> int:
    try:
        fields: Any = unpackb(data)
    except (ValueError, TypeError):
        return 0
    if not isinstance(fields, list) or len(fields) < BATCH_FIELDS:
        return 0
    version = fields[0]
    return version if isinstance(version, int) else 0
