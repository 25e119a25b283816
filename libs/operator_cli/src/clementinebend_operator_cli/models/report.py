"""What a command hands back: a report to print, or an error."""

from typing import Any, NamedTuple

from expression import Result

from clementinebend_operator_cli.exceptions import CommandError
from clementinebend_operator_cli.models.exit_codes import ExitCode


class Report(NamedTuple):
    """The outcome of a command, as lines for people and as data for scripts."""

    lines: tuple[str, ...]
    data: Any
    code: ExitCode = ExitCode.OK


Outcome = Result[Report, CommandError]
