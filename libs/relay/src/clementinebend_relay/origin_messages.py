"""Datagrams about the origins of streams."""

from typing import NamedTuple

from msgspec import Struct


class ReportedOrigin(NamedTuple):
    """The origin of one stream; times are in seconds.

    ``seconds_left`` is how long it must be kept, ``age`` how long it has been known.
    """

    team: str
    request_id: str
    service: str
    software_version: str
    seconds_left: float
    age: float


class OriginsMessage(Struct, tag="origins", array_like=True):
    """Streams have begun, or are to be known to an entry that has just started."""

    boot: str
    origins: tuple[ReportedOrigin, ...]


class OriginRequestMessage(Struct, tag="origin-asked", array_like=True):
    """Asks for the origin of a stream; the answer repeats ``number``."""

    boot: str
    number: int
    team: str
    request_id: str


class OriginAnswerMessage(Struct, tag="origin-told", array_like=True):
    """The origin of a stream, None if the sender doesn't know it."""

    boot: str
    number: int
    origin: ReportedOrigin | None


OriginMessage = OriginsMessage | OriginRequestMessage | OriginAnswerMessage
"""Messages about the origins of streams."""
