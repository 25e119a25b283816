"""What is asked of routing, and its answers."""

from typing import NamedTuple


class RoutingRequest(NamedTuple):
    """What a request needs; ``tokens`` is the length of its prompt.

    An empty ``model`` is a plain service. ``prefix_blocks`` are the names of
    the prompt's blocks from its start; ``exclude`` are endpoints not to use.
    """

    service: str
    model: str
    zone: str
    prefix_blocks: tuple[str, ...]
    tokens: int
    exclude: frozenset[str] = frozenset()


class Choice(NamedTuple):
    """The endpoint to use, and what was expected of it.

    Hand ``uncached`` on to ``on_dispatch``.
    """

    endpoint: str
    expected_seconds: float = 0.0
    uncached: int = 0


class NoEndpoint(NamedTuple):
    """No endpoint can take the request now."""

    retry_after_ms: int
