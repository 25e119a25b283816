"""``clementinebend diff``: tells what publishing files would change."""

from functools import partial

from expression import Error

from clementinebend_declarations.documents import diff_documents
from clementinebend_declarations.replay import configuration_of
from clementinebend_declarations.state import ConfigurationState, document_of
from clementinebend_operator_cli.models.operator import Operator
from clementinebend_operator_cli.models.report import Outcome, Report
from clementinebend_operator_cli.utils.declared import (
    DEFAULT_PATH,
    Declared,
    read_declared,
)
from clementinebend_operator_cli.utils.following import read_stream
from clementinebend_operator_cli.utils.operators import with_operator
from clementinebend_operator_cli.utils.output import change_data, change_line
from clementinebend_operator_cli.utils.replicas import configuration_replica


async def diff(path: str = DEFAULT_PATH, *, settings: str = "") -> Outcome:
    """Show what publishing the files would change in the configuration.

    Args:
        path: The YAML file, or a directory whose *.yaml files are merged.
        settings: Settings file; else CLEMENTINEBEND_SETTINGS.

    """
    declared = read_declared(path)
    if declared.is_error():
        return Error(declared.error)
    return await with_operator(settings, "", partial(_compare, declared=declared.ok))


async def _compare(operator: Operator, declared: Declared) -> Outcome:
    read = await read_stream(operator, configuration_replica())
    return read.map(lambda replica: _report(replica.state, declared))


def _report(state: ConfigurationState, declared: Declared) -> Report:
    changes = diff_documents(document_of(state), declared.document)
    revision = configuration_of(state).revision
    lines = tuple(map(change_line, changes)) or ("no change",)
    head = f"against revision {revision}:"
    data = {"revision": revision, "changes": list(map(change_data, changes))}
    return Report((head, *lines), data)
