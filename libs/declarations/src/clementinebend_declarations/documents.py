"""Documents as operators write them: loading YAML files, and checking.

A directory's files are merged: a name stands in one file only, routing rules
follow one another in the order of file names.
"""

from collections.abc import Iterable, Mapping
from functools import reduce
from pathlib import Path
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from clementinebend_declarations.checks import check_declarations
from clementinebend_declarations.deltas import (
    apply_changes,
    difference,
    document_digest,
)
from clementinebend_declarations.exceptions import DeclarationError
from clementinebend_declarations.models import Declarations
from clementinebend_declarations.plain import MAX_DEPTH, is_plain
from clementinebend_declarations.schemas import Errors, read_changed, read_declarations
from clementinebend_declarations.yaml_files import read_yaml

__all__ = [
    "LoadedDocument",
    "apply_changes",
    "check_changed",
    "check_document",
    "difference",
    "document_digest",
    "load_document",
    "load_files",
    "locate",
]

Paths = str | Path | Iterable[str | Path]


class LoadedDocument(NamedTuple):
    """A merged document, and the file in which each part of it stands."""

    document: dict[str, Any]
    files: dict[tuple[str, ...], str]


def load_document(paths: Paths) -> Result[dict[str, Any], DeclarationError]:
    """Return the document in a YAML file, or in a directory of them.

    Gives the first of the errors; ``load_files`` gives them all.
    """
    match load_files(paths):
        case Result(tag="error", error=errors):
            return Error(errors[0])
        case Result(tag="ok", ok=loaded):
            return Ok(loaded.document)
    raise AssertionError("a result is ok or an error")


def load_files(paths: Paths) -> Result[LoadedDocument, Errors]:
    """Return the merged document and where its parts stand, or all errors."""
    files = _yaml_files(paths)
    if not files:
        problem = "has no *.yaml file"
        return Error(
            (DeclarationError((), problem, "a file or directory", str(paths)),)
        )
    results = [(str(file), read_yaml(file)) for file in files]
    errors = [result.error for _, result in results if result.is_error()]
    if errors:
        return Error(tuple(errors))
    documents = [(file, result.ok) for file, result in results]
    return _merge(documents)


def check_document(document: Mapping[str, Any]) -> Result[Declarations, Errors]:
    """Return the declarations in a document, or all errors found in it."""
    if not is_plain(document):
        problem = "holds a value that not every node reads alike"
        allowed = (
            f"texts, finite numbers up to 64 bits, lists and mappings with text keys, "
            f"nested at most {MAX_DEPTH} deep"
        )
        return Error((DeclarationError((), problem, allowed),))
    return _checked(read_declarations(dict(document)))


def check_changed(
    document: Mapping[str, Any], known: Mapping[str, Any], declarations: Declarations
) -> Result[Declarations, Errors]:
    """Check a plain document that was made by editing ``known``.

    Gives what ``check_document`` gives, in less time; ``declarations`` are
    those in ``known``, which was checked.
    """
    return _checked(read_changed(dict(document), dict(known), declarations))


def _checked(read: Result[Declarations, Errors]) -> Result[Declarations, Errors]:
    if read.is_error():
        return read
    errors = check_declarations(read.ok)
    return Error(errors) if errors else read


def locate(errors: Errors, files: Mapping[tuple[str, ...], str]) -> Errors:
    """Return errors with the file in which the faulty part stands."""
    return tuple(error._replace(file=_file_of(error.path, files)) for error in errors)


def _file_of(path: tuple[str, ...], files: Mapping[tuple[str, ...], str]) -> str:
    prefixes = (path[:length] for length in range(len(path), -1, -1))
    return next((files[prefix] for prefix in prefixes if prefix in files), "")


def _yaml_files(paths: Paths) -> list[Path]:
    if isinstance(paths, str | Path):
        path = Path(paths)
        return sorted(path.glob("*.yaml")) if path.is_dir() else [path]
    return [file for path in paths for file in _yaml_files(path)]


def _merge(
    documents: Iterable[tuple[str, dict[str, Any]]],
) -> Result[LoadedDocument, Errors]:
    merged = LoadedDocument({}, {})
    errors: list[DeclarationError] = []
    for file, document in documents:
        errors.extend(_conflicts(merged, file, document))
        merged = _merge_one(merged, file, document)
    return Error(tuple(errors)) if errors else Ok(merged)


def _conflicts(
    merged: LoadedDocument, file: str, document: dict[str, Any]
) -> Iterable[DeclarationError]:
    for section, value in document.items():
        earlier = merged.document.get(section, value)
        if isinstance(value, dict) and isinstance(earlier, dict):
            names = [name for name in value if name in earlier and earlier is not value]
            for name in names:
                path = (section, name)
                first = _file_of(path, merged.files)
                problem = f"stands in {first} already"
                yield DeclarationError(path, problem, "each name once", file)
        elif type(value) is not type(earlier) or _differ(value, earlier):
            first = _file_of((section,), merged.files)
            problem = f"differs from the one in {first}"
            yield DeclarationError((section,), problem, "one value or kind", file)


def _differ(value: Any, earlier: Any) -> bool:
    return not isinstance(value, list) and bool(value != earlier)


def _merge_one(
    merged: LoadedDocument, file: str, document: dict[str, Any]
) -> LoadedDocument:
    return reduce(
        lambda so_far, section: _merge_section(so_far, file, section, document),
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
        known = earlier if isinstance(earlier, dict) else {}
        return LoadedDocument(merged.document | {section: known | value}, files)
    if isinstance(value, list):
        known_items = earlier if isinstance(earlier, list) else []
        start = len(known_items)
        places = range(start, start + len(value))
        files |= {(section, str(index)): file for index in places}
        return LoadedDocument(
            merged.document | {section: [*known_items, *value]}, files
        )
    return LoadedDocument(merged.document | {section: value}, files)
