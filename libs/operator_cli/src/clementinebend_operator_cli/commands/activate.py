"""``clementinebend activate``: allow declarations of a newer schema."""

from functools import partial

from expression import Error

from clementinebend_operator_cli.exceptions import invalid_input
from clementinebend_operator_cli.models.operator import Operator
from clementinebend_operator_cli.models.report import Outcome, Report
from clementinebend_operator_cli.utils.arguments import optional_number, whole_number
from clementinebend_operator_cli.utils.operators import with_operator
from clementinebend_operator_cli.utils.publishing import (
    InForce,
    activate_schema,
    configuration_data,
)
from clementinebend_records.codec import SCHEMA_VERSION


async def activate(
    version: str, *, base: str = "", author: str = "", settings: str = ""
) -> Outcome:
    """Allow declarations of a schema; entries that cannot read it leave.

    There is no way back. Upgrade every entry first.

    Args:
        version: The schema to activate: the one after the newest activated.
        base: Revision that this was decided on; else the one in force.
        author: Who activates; else the author in the settings.
        settings: Settings file; else CLEMENTINEBEND_SETTINGS.

    """
    number = whole_number(version, "VERSION", lowest=1)
    if number.is_error():
        return Error(number.error)
    if number.ok > SCHEMA_VERSION:
        message = f"this command reads schemas up to {SCHEMA_VERSION}; upgrade it first"
        return Error(invalid_input(message))
    from_revision = optional_number(base, "--base")
    if from_revision.is_error():
        return Error(from_revision.error)
    action = partial(_activate, version=number.ok, base=from_revision.ok)
    return await with_operator(settings, author, action)


async def _activate(operator: Operator, version: int, base: int | None) -> Outcome:
    activated = await activate_schema(operator, version, base)
    return activated.map(_report)


def _report(in_force: InForce) -> Report:
    configuration = in_force.configuration
    line = (
        f"schema {configuration.activated_schema} is activated, "
        f"revision {configuration.revision} is in force"
    )
    return Report((line,), configuration_data(configuration))
