"""Room in a server's memory for the bodies of the requests that it holds.

A body is held from its first byte until its request has been answered. Without a bound
on all of them together, requests of an allowed size can exceed a process's memory.
"""

from collections.abc import Callable
from typing import NamedTuple

from clementinebend_transport.http_types import Request, Response, error_response
from clementinebend_transport.parsing_turns import ParsingTurns
from clementinebend_transport.room import Room, UnfinishedRequest

SMALL_BODY_BYTES = 16 * 1024
"""Size up to which a body is read whatever others hold: little more than the connection
itself takes."""

RETRY_SECONDS = 1
"""Seconds after which a caller may send a body again for which there was no room."""


class BodyRoom(Room):
    """The bytes of all bodies that a server holds."""

    def reserve(
        self, size: int, total: int, request: UnfinishedRequest | None = None
    ) -> bool:
        """Reserve ``size`` more bytes for a body of ``total``; return whether they fit.

        Other requests than ``request`` give way. Small bodies always fit, and count
        towards the sum.
        """
        is_fitting = self.make(size, request)
        if not is_fitting and total > SMALL_BODY_BYTES:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        """Release bytes of a body that is no longer held."""
        self.held -= size


class RequestBodies(NamedTuple):
    """The room for requests, and the answer to a request that finds none.

    ``received`` is the room for all but bodies, and ``turns`` orders the parsing of
    small chunks. The request that ``reject`` gets has no body.
    """

    room: BodyRoom
    reject: Callable[[Request], Response]
    received: Room
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
