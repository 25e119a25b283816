"""Failures that this library reports, in words that tell a user what to do."""

from typing import NamedTuple

from clementinebend_records.mapping import MappingProblem


class TransportError(Exception):
    """Base of all exceptions that this library raises."""


class TruncatedAnswer(TransportError):  # noqa: N818 - a name of the interface
    """The connection ended before the answer was whole."""


class AnswerCutError(TransportError):
    """Raised by the source of a streamed answer that ends it early on purpose."""


class SlowReaderError(TransportError):
    """The other side took nothing of what was sent for too long."""


class NoRoomError(TransportError):
    """There is no memory for what a caller sends, of which nothing more is read."""


class SettingsError(NamedTuple):
    """Why a settings file cannot be used: every problem found in it."""

    file: str
    problems: tuple[MappingProblem, ...]

    def __str__(self) -> str:
        lines = (_problem_line(self.file, problem) for problem in self.problems)
        return "\n".join(lines)


def _problem_line(file: str, problem: MappingProblem) -> str:
    key = ".".join(problem.path) or "(whole file)"
    return f"{file}: {key} {problem.problem}; allowed: {problem.allowed}"
