"""Loading and validation of documents, as operators write them in YAML files."""

from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from clementinebend_declarations.checks import check_declarations
from clementinebend_declarations.deltas import (
    apply_changes,
    diff_documents,
    document_digest,
)
from clementinebend_declarations.exceptions import DeclarationError
from clementinebend_declarations.merging import (
    LoadedDocument,
    find_file,
    merge_documents,
)
from clementinebend_declarations.models import Declarations
from clementinebend_declarations.plain_values import MAX_DEPTH, is_plain_value
from clementinebend_declarations.schemas import (
    Errors,
    read_changed_declarations,
    read_declarations,
)
from clementinebend_declarations.yaml_files import read_yaml

__all__ = [
    "LoadedDocument",
    "apply_changes",
    "check_changed_document",
    "check_document",
    "diff_documents",
    "document_digest",
    "load_document",
    "load_files",
    "add_file_names",
]

Paths = str | Path | Iterable[str | Path]


def load_document(paths: Paths) -> Result[dict[str, Any], DeclarationError]:
    """Return the document in a YAML file, or in a directory of them.

    Only the first error is returned; ``load_files`` returns all of them.
    """
    match load_files(paths):
        case Result(tag="error", error=errors):
            return Error(errors[0])
        case Result(tag="ok", ok=loaded):
            return Ok(loaded.document)
    raise AssertionError("a result is ok or an error")


def load_files(paths: Paths) -> Result[LoadedDocument, Errors]:
    """Return the merged document and the file of each part, or all errors."""
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
    return merge_documents(documents)


def check_document(document: Mapping[str, Any]) -> Result[Declarations, Errors]:
    """Return the declarations in a document, or all errors found in it."""
    if not is_plain_value(document):
        problem = "contains a value that some codecs cannot represent"
        allowed = (
            f"strings, finite numbers up to 64 bits, lists and mappings with string "
            f"keys, nested at most {MAX_DEPTH} levels deep"
        )
        return Error((DeclarationError((), problem, allowed),))
    return _validated(read_declarations(dict(document)))


def check_changed_document(
    document: Mapping[str, Any], known: Mapping[str, Any], declarations: Declarations
) -> Result[Declarations, Errors]:
    """Check a plain document that was made by editing ``known``.

    Returns the same as ``check_document`` in less time. ``declarations`` are
    those of ``known``, which has passed the checks before.
    """
    return _validated(
        read_changed_declarations(dict(document), dict(known), declarations)
    )


def _validated(read: Result[Declarations, Errors]) -> Result[Declarations, Errors]:
    if read.is_error():
        return read
    errors = check_declarations(read.ok)
    return Error(errors) if errors else read


def add_file_names(errors: Errors, files: Mapping[tuple[str, ...], str]) -> Errors:
    """Return errors with the file that contains the invalid part."""
    return tuple(error._replace(file=find_file(error.path, files)) for error in errors)


def _yaml_files(paths: Paths) -> list[Path]:
    if isinstance(paths, str | Path):
        path = Path(paths)
        return sorted(path.glob("*.yaml")) if path.is_dir() else [path]
    return [file for path in paths for file in _yaml_files(path)]
