"""Plain values: what YAML, the log's codec and the canonical encoding share."""

from collections.abc import Mapping
from json import dumps
from math import isfinite
from typing import Any

from clementinebend_records.identifiers import digest_of

MAX_DEPTH = 12
"""Levels of nesting that a document may have."""

MAX_INTEGER = 2**63 - 1
MIN_INTEGER = -(2**63)


def is_plain_value(value: Any, depth: int = MAX_DEPTH) -> bool:
    """Return whether ``value`` has the same meaning in every codec in use."""
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
    """Return whether a number (or no value) fits 64 bits and is finite."""
    if isinstance(value, float):
        return isfinite(value)
    return value is None or MIN_INTEGER <= value <= MAX_INTEGER


def is_utf8_encodable(value: str) -> bool:
    """Return whether ``value`` can be written as UTF-8."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def canonical_json(value: Any) -> str:
    """Return the one encoding of a plain value, with sorted keys."""
    return dumps(value, sort_keys=True, separators=(",", ":"))


def canonical_digest(value: Any) -> str:
    """Return the digest of a plain value's canonical encoding."""
    return digest_of(canonical_json(value).encode())
