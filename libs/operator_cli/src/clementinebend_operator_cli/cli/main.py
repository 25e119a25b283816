"""The console script ``clementinebend``."""

from asyncio import run
from io import TextIOWrapper
from logging import NullHandler, basicConfig
from os import O_WRONLY, devnull, dup2
from os import open as open_file
from sys import argv, stderr, stdout
from typing import NamedTuple, TextIO

from expression import Result

from clementinebend_operator_cli.cli.parser import Parsed, Ready, parse, show_help
from clementinebend_operator_cli.exceptions import CommandError
from clementinebend_operator_cli.models.exit_codes import ExitCode
from clementinebend_operator_cli.models.report import Outcome
from clementinebend_operator_cli.utils.output import render, render_error


class Streams(NamedTuple):
    """Where reports and errors go."""

    out: TextIO
    err: TextIO


def main() -> None:
    """Run the command line; raises ``SystemExit`` with an ``ExitCode``."""
    basicConfig(handlers=[NullHandler()])
    if isinstance(stdout, TextIOWrapper):
        stdout.reconfigure(errors="backslashreplace")
    try:
        code = run_words(argv[1:], Streams(stdout, stderr))
    except KeyboardInterrupt:
        stderr.write("interrupted: look at `clementinebend audit` before going on\n")
        code = ExitCode.INTERRUPTED
    except BrokenPipeError:
        dup2(open_file(devnull, O_WRONLY), stdout.fileno())
        code = ExitCode.FAILURE
    raise SystemExit(int(code))


def run_words(words: list[str], streams: Streams) -> ExitCode:
    """Run the command that the words ask for; print its report or error."""
    parsed = parse(words)
    if parsed is None:
        return _usage(streams)
    if parsed.is_error():
        return print_error(parsed.error, streams, as_json=False)
    return run_parsed(parsed.ok, streams)


def run_parsed(parsed: Parsed, streams: Streams) -> ExitCode:
    """Run a command to its end and print its report or error."""
    match run(_awaited(parsed.run)):
        case Result(tag="ok", ok=report):
            streams.out.write(render(report, parsed.as_json) + "\n")
            streams.out.flush()
            return report.code
        case Result(error=error):
            return print_error(error, streams, parsed.as_json)
    raise AssertionError("a result is ok or an error")


def print_error(error: CommandError, streams: Streams, as_json: bool) -> ExitCode:
    """Print an error for people, and for scripts if they asked for JSON."""
    streams.err.write(f"{error}\n")
    if as_json:
        streams.out.write(render_error(error) + "\n")
        streams.out.flush()
    return error.code


async def _awaited(ready: Ready) -> Outcome:
    return await ready()


def _usage(streams: Streams) -> ExitCode:
    try:
        show_help()
    except SystemExit:
        streams.err.write("no command given\n")
    return ExitCode.INVALID_INPUT
