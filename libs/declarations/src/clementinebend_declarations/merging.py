"""Merging of the documents of several files into one.

Each name may be declared in one file only; routing rules are concatenated in
the order of the file names.
"""

from collections.abc import Iterable, Mapping
from functools import reduce
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from clementinebend_declarations.exceptions import DeclarationError
from clementinebend_declarations.schemas import Errors


class LoadedDocument(NamedTuple):
    """A merged document and the file of each of its parts."""

    document: dict[str, Any]
    files: dict[tuple[str, ...], str]


def find_file(path: tuple[str, ...], files: Mapping[tuple[str, ...], str]) -> str:
    """Return the file that declares the part at a key path, or an empty string."""
    prefixes = (path[:length] for length in range(len(path), -1, -1))
    return next((files[prefix] for prefix in prefixes if prefix in files), "")


def merge_documents(
    documents: Iterable[tuple[str, dict[str, Any]]],
) -> Result[LoadedDocument, Errors]:
    """Return the documents of some files as one, or all their conflicts."""
    merged = LoadedDocument({}, {})
    errors: list[DeclarationError] = []
    for file, document in documents:
        errors.extend(_find_conflicts(merged, file, document))
        merged = _merge_document(merged, file, document)
    return Error(tuple(errors)) if errors else Ok(merged)


def _find_conflicts(
    merged: LoadedDocument, file: str, document: dict[str, Any]
) -> Iterable[DeclarationError]:
    for section, value in document.items():
        earlier = merged.document.get(section, value)
        if isinstance(value, dict) and isinstance(earlier, dict):
            names = [name for name in value if name in earlier and earlier is not value]
            for name in names:
                path = (section, name)
                first = find_file(path, merged.files)
                problem = f"is already declared in {first}"
                yield DeclarationError(path, problem, "each name in one file", file)
        elif type(value) is not type(earlier) or _is_other_scalar(value, earlier):
            first = find_file((section,), merged.files)
            problem = f"differs from the value in {first}"
            yield DeclarationError(
                (section,), problem, "the same value or type in all files", file
            )


def _is_other_scalar(value: Any, earlier: Any) -> bool:
    return not isinstance(value, list) and bool(value != earlier)


def _merge_document(
    merged: LoadedDocument, file: str, document: dict[str, Any]
) -> LoadedDocument:
    return reduce(
        lambda accumulated, section: _merge_section(
            accumulated, file, section, document
        ),
        document,
        merged,
    )


def _merge_section(
    merged: LoadedDocument, file: str, section: str, document: dict[str, Any]
) -> LoadedDocument:
    value = document[section]
    earlier = merged.document.get(section)
    files = {(section,): file} | merged.files
    if isinstance(value, dict):
        files |= {(section, name): file for name in value}
        existing = earlier if isinstance(earlier, dict) else {}
        return LoadedDocument(merged.document | {section: existing | value}, files)
    if isinstance(value, list):
        existing_items = earlier if isinstance(earlier, list) else []
        start = len(existing_items)
        indexes = range(start, start + len(value))
        files |= {(section, str(index)): file for index in indexes}
        return LoadedDocument(
            merged.document | {section: [*existing_items, *value]}, files
        )
    return LoadedDocument(merged.document | {section: value}, files)
