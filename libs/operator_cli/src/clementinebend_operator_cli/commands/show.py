"""``clementinebend show``: the configuration in force."""

from yaml import safe_dump

from clementinebend_declarations.replay import configuration_of
from clementinebend_declarations.state import ConfigurationState, document_of
from clementinebend_operator_cli.models.operator import Operator
from clementinebend_operator_cli.models.report import Outcome, Report
from clementinebend_operator_cli.utils.following import read_stream
from clementinebend_operator_cli.utils.operators import with_operator
from clementinebend_operator_cli.utils.publishing import configuration_data
from clementinebend_operator_cli.utils.replicas import configuration_replica


async def show(*, settings: str = "") -> Outcome:
    """Show the configuration in force, as YAML that can be published again.

    Args:
        settings: Settings file; else CLEMENTINEBEND_SETTINGS.

    """
    return await with_operator(settings, "", _show)


async def _show(operator: Operator) -> Outcome:
    read = await read_stream(operator, configuration_replica())
    return read.map(lambda replica: _report(replica.state))


def _report(state: ConfigurationState) -> Report:
    configuration = configuration_of(state)
    document = document_of(state)
    head = (
        f"# revision {configuration.revision}, digest {configuration.digest}",
        f"# schema {configuration.schema_version}, "
        f"activated up to {configuration.activated_schema}",
    )
    text = safe_dump(document, allow_unicode=True, sort_keys=False)
    data = configuration_data(configuration) | {"document": document}
    return Report((*head, text.rstrip()), data)
