"""Input and results of endpoint selection."""

from typing import NamedTuple


class RoutingRequest(NamedTuple):
    """Requirements of a request; ``tokens`` is the length of its prompt.

    ``model`` is empty for a plain service. ``prefix_blocks`` are the hashes of the
    prompt's leading blocks. Endpoints in ``exclude`` are not selected.
    """

    service: str
    model: str
    zone: str
    prefix_blocks: tuple[str, ...]
    tokens: int
    exclude: frozenset[str] = frozenset()


class Choice(NamedTuple):
    """The selected endpoint and its expected time to first token.

    Pass ``uncached`` on to ``on_dispatch``.
    """

    endpoint: str
    expected_seconds: float = 0.0
    uncached: int = 0


class NoEndpoint(NamedTuple):
    """No endpoint can take the request now."""

    retry_after_ms: int
