"""What the gate is told: messages, progress of runs, and orders to leave."""

from typing import NamedTuple

from clementinebend_records.identifiers import RunId
from clementinebend_records.messages import CacheEvent, Message
from clementinebend_records.reasons import NotRunReason


class Connected(NamedTuple):
    """An entry opened a connection, which is known by a number from now on."""

    connection: int


class Received(NamedTuple):
    """A message came over a connection."""

    connection: int
    message: Message


class Disconnected(NamedTuple):
    """A connection ended; runs asked for over it go on."""

    connection: int


class HeadArrived(NamedTuple):
    """The endpoint began to answer."""

    run: RunId
    status: int
    content_type: str


class PieceArrived(NamedTuple):
    """The endpoint sent the next piece of an answer."""

    run: RunId
    data: bytes


class Refused(NamedTuple):
    """It is proved that the endpoint did not and will not execute the run."""

    reason: NotRunReason
    retry_after_ms: int


class Whole(NamedTuple):
    """The answer is whole; ``usage`` is in tokens, None if not told."""

    usage: int | None
    succeeded: bool


class Broken(NamedTuple):
    """The endpoint began and did not give a whole answer.

    Without ``certain`` it is not known whether the endpoint executed the run.
    """

    message: str
    usage: int | None
    certain: bool


Verdict = Refused | Whole | Broken


class RunOver(NamedTuple):
    """The endpoint is done with a run."""

    run: RunId
    verdict: Verdict


class DrainAsked(NamedTuple):
    """The process is to leave: by a signal, an operator, or its declarations."""

    cause: str


class Configured(NamedTuple):
    """A revision of the declarations is in force."""

    revision: int


class EngineSeen(NamedTuple):
    """The engine told its step time in milliseconds and its models."""

    step_ms: float
    models: tuple[str, ...]


class CacheSeen(NamedTuple):
    """The engine stored or evicted prefix blocks."""

    events: tuple[CacheEvent, ...]


class Tick(NamedTuple):
    """Time has passed; comes about once a second."""


Event = (
    Connected
    | Received
    | Disconnected
    | HeadArrived
    | PieceArrived
    | RunOver
    | DrainAsked
    | Configured
    | EngineSeen
    | CacheSeen
    | Tick
)
