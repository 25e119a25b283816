"""Diffs between documents, as edits of key paths.

Mappings are compared key by key; any other value, lists included, is replaced
as a whole. Applying edits never fails: each edit has exactly one result on any
document, and the digest in a publication shows whether the result is the
intended document.
"""

from collections.abc import Iterator, Mapping
from itertools import dropwhile, groupby
from typing import Any

from clementinebend_declarations.plain_values import canonical_digest, canonical_json
from clementinebend_records.records import Change

Document = dict[str, Any]


def document_digest(document: Mapping[str, Any]) -> str:
    """Return the digest of a document; it does not depend on the key order."""
    return canonical_digest(document)


def diff_documents(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> tuple[Change, ...]:
    """Return the edits that turn ``old`` into ``new``, sorted by path."""
    return tuple(_iter_changes(old, new, ()))


def apply_changes(document: Mapping[str, Any], changes: tuple[Change, ...]) -> Document:
    """Return a copy of a document with the edits applied.

    Parts that no edit changes are the same objects in both documents.
    """
    changed = dict(document)
    for key, edits in _group_by_first_key(changes).items():
        for is_at_key, group in groupby(edits, key=_has_single_key):
            if is_at_key:
                _apply_at_key(changed, key, tuple(group))
            else:
                _apply_nested(changed, key, tuple(group))
    return changed


def _group_by_first_key(changes: tuple[Change, ...]) -> dict[str, list[Change]]:
    """Group edits by their first key; edits of different keys commute."""
    groups: dict[str, list[Change]] = {}
    for change in changes:
        if change.path:
            groups.setdefault(change.path[0], []).append(change)
    return groups


def _has_single_key(change: Change) -> bool:
    return len(change.path) == 1


def _apply_at_key(document: Document, key: str, edits: tuple[Change, ...]) -> None:
    last = edits[-1]
    if last.remove:
        document.pop(key, None)
    else:
        document[key] = last.value


def _apply_nested(document: Document, key: str, edits: tuple[Change, ...]) -> None:
    inner = document.get(key)
    nested = tuple(change._replace(path=change.path[1:]) for change in edits)
    if isinstance(inner, dict):
        document[key] = apply_changes(inner, nested)
        return
    added = tuple(dropwhile(lambda change: change.remove, nested))
    if added:
        document[key] = apply_changes({}, added)


def _iter_changes(
    old: Mapping[str, Any], new: Mapping[str, Any], prefix: tuple[str, ...]
) -> Iterator[Change]:
    for key in sorted(old.keys() | new.keys()):
        path = (*prefix, key)
        if key not in new:
            yield Change(path, None, remove=True)
        elif _are_compared_by_key(old, new, key, is_section=not prefix):
            yield from _iter_changes(old.get(key, {}), new[key], path)
        elif key not in old or canonical_json(old[key]) != canonical_json(new[key]):
            yield Change(path, new[key])


def _are_compared_by_key(
    old: Mapping[str, Any], new: Mapping[str, Any], key: str, is_section: bool
) -> bool:
    """Return whether to compare the values under ``key`` key by key.

    A new section is compared with an empty one, so that each of its parts gets
    an edit of its own.
    """
    if not isinstance(new[key], Mapping):
        return False
    if key in old:
        return isinstance(old[key], Mapping)
    return is_section and bool(new[key])
