"""Making a change to the configuration, on the revision it was made from."""

from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from clementinebend_declarations.deltas import apply_changes, document_digest
from clementinebend_declarations.models import Configuration
from clementinebend_declarations.replay import configuration_of
from clementinebend_declarations.schemas import FIRST_SCHEMA, VERSION_KEY
from clementinebend_declarations.state import (
    Activated,
    AuditEntry,
    AuditResult,
    ConfigurationState,
    Conflict,
    Published,
    Rejected,
    document_of,
)
from clementinebend_operator_cli.exceptions import (
    CommandError,
    conflict,
    failure,
    invalid_input,
)
from clementinebend_operator_cli.models.operator import Operator
from clementinebend_operator_cli.utils.following import Follower, following
from clementinebend_operator_cli.utils.operators import require_author
from clementinebend_operator_cli.utils.replicas import configuration_replica
from clementinebend_records.records import Change, Publication, SchemaActivation

IN_FORCE = (AuditResult.PUBLISHED, AuditResult.ACTIVATED)


class Edit(NamedTuple):
    """What is to change, worked out from the state in force."""

    changes: tuple[Change, ...]
    source: str = ""


MakeEdit = Callable[[ConfigurationState], Result[Edit, CommandError]]


class InForce(NamedTuple):
    """The configuration after a command, and the changes that it made."""

    configuration: Configuration
    changes: tuple[Change, ...] = ()


async def publish_edit(
    operator: Operator, make_edit: MakeEdit, base: int | None = None
) -> Result[InForce, CommandError]:
    """Publish an edit of the configuration and read it back.

    ``base`` is the revision that the edit must be made from; without it, it
    is the one read now. An edit without a change publishes nothing.
    """
    unsigned = require_author(operator)
    if unsigned:
        return Error(unsigned)
    async with following(operator, configuration_replica()) as opened:
        if opened.is_error():
            return Error(opened.error)
        follower = opened.ok
        state = follower.replica.state
        revision = configuration_of(state).revision
        if base is not None and base != revision:
            return Error(conflict_of(base, state))
        edit = make_edit(state)
        if edit.is_error():
            return Error(edit.error)
        if not edit.ok.changes:
            return Ok(InForce(configuration_of(state)))
        record = publication(state, edit.ok, operator.author)
        posted = await post_change(follower, record)
        return posted.map(lambda after: InForce(after, edit.ok.changes))


async def activate_schema(
    operator: Operator, version: int, base: int | None = None
) -> Result[InForce, CommandError]:
    """Activate a schema and read that back."""
    unsigned = require_author(operator)
    if unsigned:
        return Error(unsigned)
    async with following(operator, configuration_replica()) as opened:
        if opened.is_error():
            return Error(opened.error)
        follower = opened.ok
        state = follower.replica.state
        revision = configuration_of(state).revision
        if base is not None and base != revision:
            return Error(conflict_of(base, state))
        if configuration_of(state).activated_schema >= version:
            return Ok(InForce(configuration_of(state)))
        record = SchemaActivation(revision, version, operator.author, now_text())
        posted = await post_change(follower, record)
        return posted.map(InForce)


async def post_change(
    follower: Follower[ConfigurationState], record: Publication | SchemaActivation
) -> Result[Configuration, CommandError]:
    """Log a change; return the configuration with it, or what stood against it."""
    posted = await follower.post((record,))
    if posted.is_error():
        return Error(posted.error)
    state = follower.replica.state
    for outcome in posted.ok.outcomes:
        match outcome:
            case Published() | Activated():
                return Ok(configuration_of(state))
            case Conflict():
                return Error(conflict_of(record.base_revision, state))
            case Rejected(reason=reason):
                return Error(invalid_input(f"rejected by every node: {reason}"))
    return Error(failure("the change had no outcome: look at `clementinebend audit`"))


def publication(state: ConfigurationState, edit: Edit, author: str) -> Publication:
    """Return the record that makes an edit of a state's document."""
    changed = apply_changes(document_of(state), edit.changes)
    return Publication(
        base_revision=configuration_of(state).revision,
        schema_version=changed.get(VERSION_KEY, FIRST_SCHEMA),
        source=edit.source,
        author=author,
        published_at=now_text(),
        changes=edit.changes,
        digest=document_digest(changed),
    )


def conflict_of(base: int, state: ConfigurationState) -> CommandError:
    """Return the conflict of a change that was made from revision ``base``."""
    since = [
        entry_line(entry)
        for entry in state.audit
        if entry.result in IN_FORCE and entry.revision > base
    ]
    return conflict(base, configuration_of(state).revision, since or ["nothing"])


def entry_line(entry: AuditEntry) -> str:
    """Return what one audit entry changed, by whom and when."""
    if entry.result is AuditResult.ACTIVATED:
        what = f"schema {entry.schema_version} activated"
    else:
        what = ", ".join(entry.paths) or entry.reason
    when = f"{entry.published_at} {entry.author}"
    return f"revision {entry.revision}, {when}: {what}"


def configuration_data(configuration: Configuration) -> dict[str, Any]:
    """Return the head of a configuration for scripts."""
    return {
        "revision": configuration.revision,
        "schema_version": configuration.schema_version,
        "activated_schema": configuration.activated_schema,
        "digest": configuration.digest,
    }


def now_text() -> str:
    """Return the time as an ISO 8601 text, in UTC; for people only."""
    return datetime.now(UTC).isoformat(timespec="seconds")
