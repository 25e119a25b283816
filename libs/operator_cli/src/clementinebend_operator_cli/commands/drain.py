"""``clementinebend drain``: give an endpoint no new work."""

from functools import partial

from expression import Error, Ok, Result

from clementinebend_declarations.deltas import apply_changes, diff_documents
from clementinebend_declarations.models import EndpointState
from clementinebend_declarations.replay import configuration_of
from clementinebend_declarations.schemas import FIRST_SCHEMA
from clementinebend_declarations.state import ConfigurationState, document_of
from clementinebend_operator_cli.exceptions import CommandError, invalid_input
from clementinebend_operator_cli.models.operator import Operator
from clementinebend_operator_cli.models.report import Outcome, Report
from clementinebend_operator_cli.utils.arguments import is_true
from clementinebend_operator_cli.utils.operators import with_operator
from clementinebend_operator_cli.utils.publishing import (
    Edit,
    InForce,
    configuration_data,
    publish_edit,
)
from clementinebend_records.records import Change

SOURCE = "clementinebend drain"


async def drain(
    endpoint: str, *, undo: bool = False, author: str = "", settings: str = ""
) -> Outcome:
    """Publish that an endpoint is leaving: it gets no new work.

    Args:
        endpoint: Name of the endpoint.
        undo: Let it serve again.
        author: Who drains; else the author in the settings.
        settings: Settings file; else CLEMENTINEBEND_SETTINGS.

    """
    state = EndpointState.SERVING if is_true(undo) else EndpointState.LEAVING
    action = partial(drain_endpoint, endpoint=endpoint, wanted=state)
    return await with_operator(settings, author, action)


async def drain_endpoint(
    operator: Operator, endpoint: str, wanted: EndpointState
) -> Outcome:
    """Publish the state that is wanted of an endpoint."""
    make_edit = partial(_edit, endpoint=endpoint, wanted=wanted)
    published = await publish_edit(operator, make_edit)
    return published.map(partial(_report, endpoint=endpoint, wanted=wanted))


def _edit(
    state: ConfigurationState, endpoint: str, wanted: EndpointState
) -> Result[Edit, CommandError]:
    configuration = configuration_of(state)
    declared = configuration.declarations.endpoints
    if endpoint not in declared:
        names = ", ".join(sorted(declared)) or "none"
        message = f"no endpoint {endpoint!r} is declared; declared are: {names}"
        return Error(invalid_input(message))
    if declared[endpoint].state is wanted:
        return Ok(Edit((), SOURCE))
    change = _change(endpoint, wanted, configuration.schema_version)
    document = document_of(state)
    changed = apply_changes(document, (change,))
    return Ok(Edit(diff_documents(document, changed), SOURCE))


def _change(endpoint: str, wanted: EndpointState, schema_version: int) -> Change:
    """Return the edit as the schema of the document in force writes it."""
    if schema_version == FIRST_SCHEMA:
        path = ("endpoints", endpoint, "leaving")
        return Change(path, wanted is EndpointState.LEAVING)
    return Change(("endpoints", endpoint, "state"), wanted.value)


def _report(in_force: InForce, endpoint: str, wanted: EndpointState) -> Report:
    revision = in_force.configuration.revision
    data = configuration_data(in_force.configuration)
    data |= {"endpoint": endpoint, "state": wanted.value}
    if not in_force.changes:
        return Report(
            (f"{endpoint} is {wanted} already, in revision {revision}",), data
        )
    done = f"{endpoint} is {wanted} as of revision {revision}"
    reminder = "write it into the files as well, or the next publish takes it back"
    return Report((done, reminder), data)
