"""Typed outcomes of a request that did not give a whole answer."""

from typing import NamedTuple

from clementinebend_records.reasons import NotRun


class BadRequest(NamedTuple):
    """The request itself is wrong; ``field`` names the part at fault."""

    status: int
    field: str
    message: str


class Refusal(NamedTuple):
    """The request did not run and will not be billed.

    ``retry_after_ms`` says when it is worth coming back; ``status`` replaces
    the status that goes with the reason.
    """

    reason: NotRun
    retry_after_ms: int
    message: str = ""
    status: int = 0


class Failed(NamedTuple):
    """The request ran and gave no whole answer."""

    message: str


class Unknown(NamedTuple):
    """Nobody can say now whether the request ran."""

    message: str


ErrorOutcome = BadRequest | Refusal | Failed | Unknown
