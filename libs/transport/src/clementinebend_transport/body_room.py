"""Room in a server's memory for the bodies of the requests that it holds.

A body is held from its first byte until its request has been answered. Without a bound
on all of them together, requests of an allowed size can exceed a process's memory.
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from clementinebend_transport.http_types import Request, Response, error_response
from clementinebend_transport.parsing_turns import ParsingTurns
from clementinebend_transport.room import Room, UnfinishedRequest

SMALL_BODY_BYTES = 16 * 1024
"""Size up to which a body is read whatever others hold: little more than the connection
itself takes."""

RETRY_SECONDS = 1
"""Seconds after which a caller may send a body again for which there was no room."""


LARGER = 2
"""How many times as large as a body another one is, at least, that gives way to it."""


class BodyRequest(UnfinishedRequest, Protocol):
    """A request whose body is being read, with the bytes ``reserved`` for it."""

    reserved: int


class Reservation(NamedTuple):
    """``size`` more bytes for a body of ``total`` that ``request`` has begun.

    The size of a body that ``is_announced`` is known before it is read.
    """

    size: int
    total: int
    is_announced: bool = False
    request: BodyRequest | None = None


class BodyRoom(Room[BodyRequest]):
    """The bytes of all bodies that a server holds."""

    def reserve(self, wanted: Reservation) -> bool:
        """Reserve room; return whether it fits.

        Others give way: those that were begun long ago, and to a body whose size is
        announced also larger ones. Small bodies always fit, and count towards the sum.
        """
        is_fitting = self.make(wanted.size, wanted.request) or (
            wanted.is_announced and self._make_from_larger(wanted)
        )
        if not is_fitting and wanted.total > SMALL_BODY_BYTES:
            return False
        self.held += wanted.size
        return True

    def release(self, size: int) -> None:
        """Release bytes of a body that is no longer held."""
        self.held -= size

    def _make_from_larger(self, wanted: Reservation) -> bool:
        larger = [
            request
            for request in self.unfinished
            if request.reserved >= LARGER * wanted.total
        ]
        return self.make_from(larger, wanted.size, wanted.request)


class RequestBodies(NamedTuple):
    """The room for requests, and the answer to a request that finds none.

    ``received`` is the room for all but bodies, and ``turns`` orders the parsing of
    small chunks. The request that ``reject`` gets has no body.
    """

    room: BodyRoom
    reject: Callable[[Request], Response]
    received: Room[UnfinishedRequest]
    turns: ParsingTurns


def request_bodies(
    room: BodyRoom, reject: Callable[[Request], Response]
) -> RequestBodies:
    """Return ``room`` with nothing in the room for all else, which is not bounded."""
    return RequestBodies(room, reject, Room(), ParsingTurns())


def reject_body(request: Request) -> Response:
    """Return the answer to a request whose body is not read."""
    message = "there is no memory for the request's body"
    return error_response(503, "overloaded", message, RETRY_SECONDS)


def unlimited_bodies() -> RequestBodies:
    """Return that requests are not bounded together."""
    return request_bodies(BodyRoom(), reject_body)
