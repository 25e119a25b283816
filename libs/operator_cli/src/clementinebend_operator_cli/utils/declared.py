"""Declarations in files: loaded and checked, with all errors as one message."""

from typing import Any, NamedTuple

from expression import Error, Ok, Result

from clementinebend_declarations.documents import (
    add_file_names,
    check_document,
    load_files,
)
from clementinebend_declarations.exceptions import DeclarationError
from clementinebend_declarations.models import Declarations
from clementinebend_operator_cli.exceptions import CommandError, invalid_input

DEFAULT_PATH = "declarations"


class Declared(NamedTuple):
    """A document that is right, and what it declares."""

    document: dict[str, Any]
    declarations: Declarations


def read_declared(path: str) -> Result[Declared, CommandError]:
    """Return the declarations at a path, or an error that tells of all faults."""
    loaded = load_files(path)
    if loaded.is_error():
        return Error(_faulty(loaded.error))
    document, files = loaded.ok
    checked = check_document(document)
    if checked.is_error():
        return Error(_faulty(add_file_names(checked.error, files)))
    return Ok(Declared(document, checked.ok))


def _faulty(errors: tuple[DeclarationError, ...]) -> CommandError:
    return invalid_input("\n".join(str(error) for error in errors))
