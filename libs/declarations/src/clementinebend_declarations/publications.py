"""Validation of publications and schema activations.

The result must be the same on all nodes, so it depends on the state and the
record only.
"""

from typing import NamedTuple

from expression import Error, Ok, Result

from clementinebend_declarations.deltas import (
    Document,
    apply_changes,
    document_digest,
)
from clementinebend_declarations.documents import check_changed_document
from clementinebend_declarations.models import Configuration, Declarations
from clementinebend_declarations.plain_values import (
    MAX_DEPTH,
    is_plain_value,
    is_utf8_encodable,
)
from clementinebend_declarations.schemas import FIRST_SCHEMA, VERSION_KEY
from clementinebend_records.records import Change, Publication, SchemaActivation

MAX_REPORTED_ERRORS = 5
"""Maximum number of document errors in the reason of a rejection."""


class AcceptedPublication(NamedTuple):
    """The document and declarations that result from a valid publication."""

    document: Document
    declarations: Declarations


def validate_publication(
    configuration: Configuration, document: Document, publication: Publication
) -> Result[AcceptedPublication, str]:
    """Return the resulting document, or why the publication is rejected.

    The caller must have compared the base revision.
    """
    version = publication.schema_version
    if not FIRST_SCHEMA <= version <= configuration.activated_schema:
        return Error(
            f"schema {version} is not activated; "
            f"{configuration.activated_schema} is the newest that is"
        )
    if not all(map(is_plain_change, publication.changes)):
        return Error("a change holds a value that not every node reads alike")
    changed = apply_changes(document, publication.changes)
    error_text = _find_document_error(changed, publication)
    if error_text:
        return Error(error_text)
    return _validate_document(configuration.declarations, document, changed)


def validate_activation(
    configuration: Configuration, activation: SchemaActivation
) -> Result[int, str]:
    """Return the schema to activate, or why the activation is rejected."""
    version = activation.schema_version
    next_version = configuration.activated_schema + 1
    if version == next_version:
        return Ok(version)
    return Error(f"schema {version} cannot be activated; {next_version} is the next")


def is_plain_change(change: Change) -> bool:
    """Return whether a plain document remains plain after the change."""
    levels = MAX_DEPTH - len(change.path)
    return all(map(is_utf8_encodable, change.path)) and is_plain_value(
        change.value, levels
    )


def first_paths(changes: tuple[Change, ...], count: int) -> tuple[str, ...]:
    """Return the key paths of the first ``count`` changes."""
    return tuple(".".join(change.path) for change in changes[:count])


def _find_document_error(document: Document, publication: Publication) -> str:
    if document_digest(document) != publication.digest:
        return "the changed document does not give the digest of the publication"
    document_version = document.get(VERSION_KEY, FIRST_SCHEMA)
    if (
        type(document_version) is not int
        or document_version != publication.schema_version
    ):
        return f"the changed document is of schema {document_version!r}"
    return ""


def _validate_document(
    in_force: Declarations, document: Document, changed: Document
) -> Result[AcceptedPublication, str]:
    match check_changed_document(changed, document, in_force):
        case Result(tag="ok", ok=declarations):
            error_text = _find_top_up_error(in_force, declarations)
            return (
                Error(error_text)
                if error_text
                else Ok(AcceptedPublication(changed, declarations))
            )
        case Result(error=errors):
            reported = "; ".join(str(error) for error in errors[:MAX_REPORTED_ERRORS])
            return Error(f"{len(errors)} errors: {reported}")
    raise AssertionError("a result is ok or an error")


def _find_top_up_error(old: Declarations, new: Declarations) -> str:
    """Return an error if a top-up in force is changed or removed, or no text."""
    new_top_ups = _top_ups(new)
    changed = (
        (budget, identifier)
        for (budget, identifier), tokens in _top_ups(old).items()
        if new_top_ups.get((budget, identifier)) != tokens
    )
    budget, identifier = next(changed, ("", ""))
    if not identifier:
        return ""
    return (
        f"the top-up {identifier!r} of the budget {budget!r} is in force: "
        "it may neither change nor go"
    )


def _top_ups(declarations: Declarations) -> dict[tuple[str, str], int]:
    return {
        (name, top_up.id): top_up.tokens
        for name, budget in declarations.budgets.items()
        for top_up in budget.top_ups
    }
