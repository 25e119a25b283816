"""Typed outcomes of a request that produced no complete answer."""

from typing import NamedTuple

from clementinebend_records.reasons import NotRunReason


class BadRequest(NamedTuple):
    """The request itself is invalid; ``field`` names the offending part."""

    status: int
    field: str
    message: str


class Refusal(NamedTuple):
    """The request did not run and will not be billed.

    ``retry_after_ms`` is the suggested delay before a retry; a nonzero
    ``status`` overrides the HTTP status of the reason.
    """

    reason: NotRunReason
    retry_after_ms: int
    message: str = ""
    status: int = 0


class Failed(NamedTuple):
    """The request ran but produced no complete answer."""

    message: str


class Unknown(NamedTuple):
    """It cannot be determined whether the request ran."""

    message: str


ErrorOutcome = BadRequest | Refusal | Failed | Unknown
