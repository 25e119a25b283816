"""From words on the command line to a command that is ready to run.

``fire`` calls a command as soon as it has its arguments, and only then finds
that words are left over. So it is given stand-ins that only note the call:
nothing runs before the whole line is understood.
"""

from collections.abc import Awaitable, Callable, Iterator, Mapping, Sequence
from functools import partial
from inspect import signature
from typing import Any, NamedTuple

from expression import Error, Ok, Result
from fire import Fire
from fire.decorators import SetParseFn

from clementinebend_declarations.plain_values import is_utf8_encodable
from clementinebend_operator_cli.commands.activate import activate
from clementinebend_operator_cli.commands.audit import audit
from clementinebend_operator_cli.commands.budget_resolve import budget_resolve
from clementinebend_operator_cli.commands.budget_show import budget_show
from clementinebend_operator_cli.commands.check import check
from clementinebend_operator_cli.commands.close import close
from clementinebend_operator_cli.commands.diff import diff
from clementinebend_operator_cli.commands.drain import drain
from clementinebend_operator_cli.commands.init import init
from clementinebend_operator_cli.commands.publish import publish
from clementinebend_operator_cli.commands.show import show
from clementinebend_operator_cli.commands.status import status
from clementinebend_operator_cli.exceptions import CommandError, invalid_input
from clementinebend_operator_cli.models.report import Outcome

PROGRAM = "clementinebend"
JSON_FLAG = "--json"
HELP_FLAG = "--help"
FIRE_TRUE = "True"

Command = Callable[..., Awaitable[Outcome]]
Ready = Callable[[], Awaitable[Outcome]]

COMMANDS: dict[str, Any] = {
    "init": init,
    "check": check,
    "publish": publish,
    "activate": activate,
    "show": show,
    "diff": diff,
    "audit": audit,
    "budget": {"show": budget_show, "resolve": budget_resolve},
    "drain": drain,
    "status": status,
    "close": close,
}


class Call(NamedTuple):
    """A command and the texts it is called with."""

    command: Command
    args: tuple[str, ...]
    kwargs: dict[str, str]


class Parsed(NamedTuple):
    """A command that is ready to run, and how to print its report."""

    run: Ready
    as_json: bool


def parse(words: Sequence[str]) -> Result[Parsed, CommandError] | None:
    """Return the command that the words ask for, None if they name none.

    Raises ``SystemExit`` after showing help (0) or a usage error (2).
    """
    if not all(map(is_utf8_encodable, words)):
        return Error(invalid_input("the command line is not UTF-8"))
    as_json = JSON_FLAG in words
    rest = [word for word in words if word != JSON_FLAG]
    calls: list[Call] = []
    Fire(_noting(COMMANDS, calls), command=rest, name=PROGRAM, serialize=_nothing)
    if not calls:
        return None
    call = calls[-1]
    bare = next(_bare_options(rest, call), None)
    if bare:
        return Error(invalid_input(f"{bare} needs a value: {bare}=VALUE"))
    return Ok(Parsed(partial(call.command, *call.args, **call.kwargs), as_json))


def show_help() -> None:
    """Print what commands there are; raises ``SystemExit`` when done."""
    Fire(_noting(COMMANDS, []), command=[HELP_FLAG], name=PROGRAM)


def _noting(commands: Mapping[str, Any], calls: list[Call]) -> dict[str, Any]:
    return {
        name: _noting(command, calls)
        if isinstance(command, Mapping)
        else _stand_in(command, calls)
        for name, command in commands.items()
    }


def _stand_in(command: Command, calls: list[Call]) -> Callable[..., None]:
    """Return a function with the command's signature that only notes the call.

    All values arrive as texts, so that a name such as ``1e5`` stays one.
    """

    def note(*args: str, **kwargs: str) -> None:
        calls.append(Call(command, args, kwargs))

    note.__name__ = command.__name__
    note.__doc__ = command.__doc__
    note.__signature__ = signature(command)  # type: ignore[attr-defined]
    return SetParseFn(str)(note)  # type: ignore[no-any-return]


def _bare_options(words: Sequence[str], call: Call) -> Iterator[str]:
    """Yield the options that need a value and stand without one.

    ``fire`` passes such an option as if its value were ``True``.
    """
    for name, parameter in signature(call.command).parameters.items():
        option = f"--{name}"
        given = call.kwargs.get(name)
        is_bare = given == FIRE_TRUE and FIRE_TRUE not in words
        if parameter.annotation is str and option in words and is_bare:
            yield option


def _nothing(_: object) -> None:
    """Print nothing of what a stand-in returns."""
