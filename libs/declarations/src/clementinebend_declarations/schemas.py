"""Reading a document of any schema version as the newest declarations."""

from typing import Any, TypeVar, cast

from expression import Error, Ok, Result

from clementinebend_declarations.exceptions import DeclarationError
from clementinebend_declarations.models import Declarations
from clementinebend_declarations.schema_v1 import DeclarationsV1, upgrade_v1
from clementinebend_records.codec import SCHEMA_VERSION
from clementinebend_records.mapping import MappingProblem, convert_mapping

VERSION_KEY = "schema_version"
FIRST_SCHEMA = 1
"""Schema of a document that does not name one."""

T = TypeVar("T")
Errors = tuple[DeclarationError, ...]


def schema_version_of(document: dict[str, Any]) -> Result[int, DeclarationError]:
    """Return the schema that a document is written in."""
    version = document.get(VERSION_KEY, FIRST_SCHEMA)
    is_known = type(version) is int and FIRST_SCHEMA <= version <= SCHEMA_VERSION
    if is_known:
        return Ok(version)
    allowed = f"a whole number from {FIRST_SCHEMA} to {SCHEMA_VERSION}"
    return Error(DeclarationError((VERSION_KEY,), f"is {version!r}", allowed))


def read_declarations(document: dict[str, Any]) -> Result[Declarations, Errors]:
    """Return the declarations in a document, or all errors of its shape."""
    match schema_version_of(document):
        case Result(tag="error", error=error):
            return Error((error,))
        case Result(tag="ok", ok=version):
            body = {key: value for key, value in document.items() if key != VERSION_KEY}
            return _read_version(body, version)
    raise AssertionError("a result is ok or an error")


def _read_version(body: dict[str, Any], version: int) -> Result[Declarations, Errors]:
    if version > FIRST_SCHEMA:
        return _convert(body, Declarations)
    match _convert(body, DeclarationsV1):
        case Result(tag="error", error=errors):
            return Error(errors)
        case _:
            return _convert(upgrade_v1(body), Declarations)


def _convert(body: dict[str, Any], kind: type[T]) -> Result[T, Errors]:
    converted = convert_mapping(body, kind)
    if isinstance(converted, kind):
        return Ok(converted)
    problems = cast(tuple[MappingProblem, ...], converted)
    return Error(tuple(DeclarationError(*problem) for problem in problems))
