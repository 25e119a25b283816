"""Moves callers' connections elsewhere while this entry is out of rotation."""

from clementinebend_transport.http_server import HttpServer

CLOSE_DELAY = 1.0
"""Seconds after the departure before idle connections are closed. The load balancer
notices a departure within 1 to 2 s; callers that connect anew before that come back."""

CLOSE_SHARE = 0.1
"""Share of the idle connections that is closed at each step, every 0.1 s: half of them
after 0.7 s. Their callers do not all connect elsewhere at once."""

MIN_IDLE_SECONDS = 0.5
"""Shortest idle time in seconds of a connection that is closed. A request may be on its
way on one that was used just before; a full link delays it by up to some 0.3 s."""


def close_some_idle(server: HttpServer, seconds: float) -> None:
    """Close some idle connections, ``seconds`` after the departure.

    Connections with a request in progress are not closed; their answers ask the callers
    to connect anew.
    """
    if seconds >= CLOSE_DELAY:
        server.close_idle(CLOSE_SHARE, MIN_IDLE_SECONDS)
