"""Plain values, which YAML, the log's codec and canonical JSON all represent."""

from collections.abc import Mapping
from json import dumps
from math import isfinite
from typing import Any

from clementinebend_records.identifiers import digest_of

MAX_DEPTH = 12
"""Maximum nesting depth of a document."""

MAX_INTEGER = 2**63 - 1
MIN_INTEGER = -(2**63)


def is_plain_value(value: Any, depth: int = MAX_DEPTH) -> bool:
    """Return whether all codecs in use represent ``value`` without a change."""
    if depth < 0:
        return False
    if isinstance(value, str):
        return is_utf8_encodable(value)
    if value is None or isinstance(value, bool | int | float):
        return is_plain_number(value)
    if isinstance(value, Mapping):
        return all(
            isinstance(key, str)
            and is_utf8_encodable(key)
            and is_plain_value(item, depth - 1)
            for key, item in value.items()
        )
    return isinstance(value, list) and all(
        is_plain_value(item, depth - 1) for item in value
    )


def is_plain_number(value: bool | int | float | None) -> bool:
    """Return whether a number is finite and fits 64 bits; ``None`` counts as one."""
    if isinstance(value, float):
        return isfinite(value)
    return value is None or MIN_INTEGER <= value <= MAX_INTEGER


def is_utf8_encodable(value: str) -> bool:
    """Return whether ``value`` can be encoded as UTF-8, without lone surrogates."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def canonical_json(value: Any) -> str:
    """Return the canonical JSON of a plain value: keys sorted, no spaces."""
    return dumps(value, sort_keys=True, separators=(",", ":"))


def canonical_digest(value: Any) -> str:
    """Return the digest of the canonical JSON of a plain value."""
    return digest_of(canonical_json(value).encode())
