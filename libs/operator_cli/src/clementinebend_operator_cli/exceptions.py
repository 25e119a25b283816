"""Errors of commands: values whose messages tell an operator what to do."""

from collections.abc import Iterable
from typing import NamedTuple

from clementinebend_operator_cli.models.exit_codes import ExitCode


class CommandError(NamedTuple):
    """Why a command did not do its work, and the code to exit with."""

    code: ExitCode
    message: str

    def __str__(self) -> str:
        """Return the message."""
        return self.message


def invalid_input(message: str) -> CommandError:
    """Return the error of input that the operator has to mend."""
    return CommandError(ExitCode.INVALID_INPUT, message)


def failure(message: str) -> CommandError:
    """Return the error of work that could not be done."""
    return CommandError(ExitCode.FAILURE, message)


def log_unreachable(message: str) -> CommandError:
    """Return the error of a log that does not answer."""
    return CommandError(ExitCode.LOG_UNREACHABLE, message)


def conflict(base: int, revision: int, since: Iterable[str]) -> CommandError:
    """Return the error of a change that was made from an old revision."""
    lines = (
        f"conflict: the change was made from revision {base}, "
        f"and revision {revision} is in force.",
        "Changed since:",
        *(f"  {line}" for line in since),
        "Nothing was changed. Look at `clementinebend diff`, then publish again.",
    )
    return CommandError(ExitCode.CONFLICT, "\n".join(lines))
