"""Differences between documents, as edits of key paths.

Mappings are compared key by key; every other value, lists among them, is
replaced whole. Applying is total: any edit has one result on any document,
and the digest of a publication tells whether it was the one meant.
"""

from collections.abc import Iterator, Mapping
from functools import reduce
from typing import Any

from clementinebend_declarations.plain import canonical, canonical_digest
from clementinebend_records.records import Change

Document = dict[str, Any]


def document_digest(document: Mapping[str, Any]) -> str:
    """Return the digest of a document, the same whatever its key order."""
    return canonical_digest(document)


def difference(old: Mapping[str, Any], new: Mapping[str, Any]) -> tuple[Change, ...]:
    """Return the edits that turn ``old`` into ``new``, sorted by path."""
    return tuple(_differences(old, new, ()))


def apply_changes(document: Mapping[str, Any], changes: tuple[Change, ...]) -> Document:
    """Return a document with the edits made; the one handed in stays as is."""
    return reduce(_apply, changes, dict(document))


def _differences(
    old: Mapping[str, Any], new: Mapping[str, Any], prefix: tuple[str, ...]
) -> Iterator[Change]:
    for key in sorted(old.keys() | new.keys()):
        path = (*prefix, key)
        if key not in new:
            yield Change(path, None, remove=True)
        elif _have_parts(old, new, key, is_section=not prefix):
            yield from _differences(old.get(key, {}), new[key], path)
        elif key not in old or canonical(old[key]) != canonical(new[key]):
            yield Change(path, new[key])


def _have_parts(
    old: Mapping[str, Any], new: Mapping[str, Any], key: str, is_section: bool
) -> bool:
    """Return whether to compare the values under ``key`` part by part.

    A new section counts as an empty one before, so that edits name its parts.
    """
    if not isinstance(new[key], Mapping):
        return False
    if key in old:
        return isinstance(old[key], Mapping)
    return is_section and bool(new[key])


def _apply(document: Document, change: Change) -> Document:
    if not change.path:
        return document
    key, *rest = change.path
    if rest:
        return _apply_below(document, key, change._replace(path=tuple(rest)))
    if change.remove:
        return {name: value for name, value in document.items() if name != key}
    return document | {key: change.value}


def _apply_below(document: Document, key: str, change: Change) -> Document:
    inner = document.get(key)
    if isinstance(inner, dict):
        return document | {key: _apply(inner, change)}
    if change.remove:
        return document
    return document | {key: _apply({}, change)}
