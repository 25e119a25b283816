"""``clementinebend publish``: bring declarations into force."""

from functools import partial

from expression import Error, Ok, Result

from clementinebend_declarations.documents import diff_documents
from clementinebend_declarations.replay import configuration_of
from clementinebend_declarations.schemas import FIRST_SCHEMA, VERSION_KEY
from clementinebend_declarations.state import ConfigurationState, document_of
from clementinebend_operator_cli.exceptions import CommandError, invalid_input
from clementinebend_operator_cli.models.operator import Operator
from clementinebend_operator_cli.models.report import Outcome, Report
from clementinebend_operator_cli.utils.arguments import optional_number
from clementinebend_operator_cli.utils.declared import (
    DEFAULT_PATH,
    Declared,
    read_declared,
)
from clementinebend_operator_cli.utils.operators import with_operator
from clementinebend_operator_cli.utils.output import change_data, change_line
from clementinebend_operator_cli.utils.publishing import (
    Edit,
    InForce,
    configuration_data,
    publish_edit,
)
from clementinebend_operator_cli.utils.top_ups import post_top_ups
from clementinebend_records.records import TopUp


async def publish(
    path: str = DEFAULT_PATH,
    *,
    base: str = "",
    source: str = "",
    author: str = "",
    settings: str = "",
) -> Outcome:
    """Publish declarations, then log the top-ups that the ledger lacks.

    It may be repeated: what is in force already is not published again.

    Args:
        path: The YAML file, or a directory whose *.yaml files are merged.
        base: Revision that the files were made from; else the one in force.
        source: Commit that the files were taken from, for the audit.
        author: Who publishes; else the author in the settings.
        settings: Settings file; else CLEMENTINEBEND_SETTINGS.

    """
    declared = read_declared(path)
    if declared.is_error():
        return Error(declared.error)
    from_revision = optional_number(base, "--base")
    if from_revision.is_error():
        return Error(from_revision.error)
    action = partial(
        publish_declared,
        declared=declared.ok,
        base=from_revision.ok,
        source=source,
    )
    return await with_operator(settings, author, action)


async def publish_declared(
    operator: Operator, declared: Declared, base: int | None, source: str
) -> Outcome:
    """Publish declarations that were checked, and log their top-ups."""
    make_edit = partial(_edit, declared=declared, source=source)
    published = await publish_edit(operator, make_edit, base)
    if published.is_error():
        return Error(published.error)
    in_force = published.ok
    posted = await post_top_ups(operator, in_force.configuration.declarations)
    if posted.is_error():
        return Error(_incomplete(in_force, posted.error))
    return Ok(_report(in_force, posted.ok))


def _edit(
    state: ConfigurationState, declared: Declared, source: str
) -> Result[Edit, CommandError]:
    version = declared.document.get(VERSION_KEY, FIRST_SCHEMA)
    activated = configuration_of(state).activated_schema
    if version > activated:
        message = (
            f"the files are of schema {version}, and {activated} is activated; once "
            f"every entry reads it, run `clementinebend activate {version}`"
        )
        return Error(invalid_input(message))
    changes = diff_documents(document_of(state), declared.document)
    return Ok(Edit(changes, source))


def _incomplete(in_force: InForce, error: CommandError) -> CommandError:
    revision = in_force.configuration.revision
    message = (
        f"revision {revision} is in force, but not all top-ups are logged: "
        f"{error.message}. Run the command again"
    )
    return error._replace(message=message)


def _report(in_force: InForce, top_ups: tuple[TopUp, ...]) -> Report:
    revision = in_force.configuration.revision
    changes = in_force.changes
    head = f"revision {revision} is in force, {len(changes)} changes"
    if not changes:
        head = f"nothing to publish: revision {revision} is in force"
    credits = (
        f"topped up {record.budget} by {record.amount:_} ({record.top_up})"
        for record in top_ups
    )
    data = configuration_data(in_force.configuration) | {
        "changes": list(map(change_data, changes)),
        "top_ups": [record._asdict() for record in top_ups],
    }
    return Report((head, *map(change_line, changes), *credits), data)
