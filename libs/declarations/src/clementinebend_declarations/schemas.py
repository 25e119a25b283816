"""Reading of documents of all schema versions as declarations of the newest."""

from typing import Any, TypeVar, cast

from expression import Error, Ok, Result

from clementinebend_declarations.exceptions import DeclarationError
from clementinebend_declarations.models import Declarations
from clementinebend_declarations.schema_v1 import DeclarationsV1, upgrade_v1
from clementinebend_records.codec import SCHEMA_VERSION
from clementinebend_records.mapping import MappingProblem, convert_mapping

VERSION_KEY = "schema_version"
FIRST_SCHEMA = 1
"""The default schema version of a document."""

T = TypeVar("T")
NAMED_SECTIONS = ("teams", "budgets", "services", "endpoints")
"""Sections whose parts are keyed by name."""

Errors = tuple[DeclarationError, ...]


def schema_version_of(document: dict[str, Any]) -> Result[int, DeclarationError]:
    """Return the schema version of a document."""
    version = document.get(VERSION_KEY, FIRST_SCHEMA)
    is_known = type(version) is int and FIRST_SCHEMA <= version <= SCHEMA_VERSION
    if is_known:
        return Ok(version)
    allowed = f"a whole number from {FIRST_SCHEMA} to {SCHEMA_VERSION}"
    return Error(DeclarationError((VERSION_KEY,), f"is {version!r}", allowed))


def read_declarations(document: dict[str, Any]) -> Result[Declarations, Errors]:
    """Return the declarations in a document, or all schema errors in it."""
    match schema_version_of(document):
        case Result(tag="error", error=error):
            return Error((error,))
        case Result(tag="ok", ok=version):
            body = {key: value for key, value in document.items() if key != VERSION_KEY}
            return _read_version(body, version)
    raise AssertionError("a result is ok or an error")


def read_changed_declarations(
    document: dict[str, Any], known: dict[str, Any], declarations: Declarations
) -> Result[Declarations, Errors]:
    """Return the declarations in a document that was made by editing ``known``.

    ``declarations`` are those of ``known``. The result is the same as that of
    ``read_declarations``. Parts that are the same objects in both documents are
    not read again, since one edit changes only a small part of a large fleet.
    """
    if document.get(VERSION_KEY) != known.get(VERSION_KEY):
        return read_declarations(document)
    edited = {
        section: _select_edited_parts(section, value, known)
        for section, value in document.items()
    }
    return read_declarations(edited).map(
        lambda read: read._replace(
            teams=_merge_unchanged_parts(
                "teams", document, read.teams, declarations.teams
            ),
            budgets=_merge_unchanged_parts(
                "budgets", document, read.budgets, declarations.budgets
            ),
            services=_merge_unchanged_parts(
                "services", document, read.services, declarations.services
            ),
            endpoints=_merge_unchanged_parts(
                "endpoints", document, read.endpoints, declarations.endpoints
            ),
        )
    )


def _select_edited_parts(section: str, value: Any, known: dict[str, Any]) -> Any:
    before = known.get(section)
    is_named = section in NAMED_SECTIONS and isinstance(value, dict)
    if not is_named or not isinstance(before, dict):
        return value
    return {
        name: part
        for name, part in value.items()
        if before.get(name, value) is not part
    }


def _merge_unchanged_parts(
    section: str, document: dict[str, Any], read: dict[str, T], known: dict[str, T]
) -> dict[str, T]:
    names = sorted(document.get(section, {}))
    return {name: read[name] if name in read else known[name] for name in names}


def _read_version(body: dict[str, Any], version: int) -> Result[Declarations, Errors]:
    if version > FIRST_SCHEMA:
        return _convert(body, Declarations).map(_sort_by_name)
    match _convert(body, DeclarationsV1):
        case Result(tag="error", error=errors):
            return Error(errors)
        case _:
            upgraded = _convert(upgrade_v1(body), Declarations)
            return upgraded.map(_sort_by_name)


def _sort_by_name(declarations: Declarations) -> Declarations:
    """Return declarations sorted by name, so that all nodes have the same order.

    The order of a document depends on its edits, which are unknown to a node that
    started from a checkpoint.
    """
    return declarations._replace(
        teams=dict(sorted(declarations.teams.items())),
        budgets=dict(sorted(declarations.budgets.items())),
        services=dict(sorted(declarations.services.items())),
        endpoints=dict(sorted(declarations.endpoints.items())),
    )


def _convert(body: dict[str, Any], kind: type[T]) -> Result[T, Errors]:
    converted = convert_mapping(body, kind)
    if isinstance(converted, kind):
        return Ok(converted)
    problems = cast(tuple[MappingProblem, ...], converted)
    return Error(tuple(DeclarationError(*problem) for problem in sorted(problems)))
