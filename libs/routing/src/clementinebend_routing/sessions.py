"""Choice of an engine that holds a session's prompt in its cache.

All entries rank the engines of a session alike, by highest random weight over
the deepest part of the prompt that comes again. The first engine is taken
unless its outstanding prefill is far above the others'. Source: bounded-load
consistent hashing (Mirrokni et al., 2018), with tokens for load.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from itertools import accumulate
from typing import NamedTuple

PARTS_REMEMBERED = 20_000
"""Prompt parts remembered to learn which come again; at most some 2 MB."""

CACHED_PARTS = 4_000
"""Parts believed to be in one engine's cache."""

LOAD_FACTOR = 1.5
"""Outstanding prefill of the first choice, in multiples of the mean."""

LOAD_ALLOWANCE = 6_000
"""Tokens of outstanding prefill that are allowed beside the multiple."""

LEAST_FETCHED = 64
"""Tokens that a fetch from another engine must spare: setting up a transfer takes
an engine about as long as reading twice as many."""


class PromptPart(NamedTuple):
    """One part of a prompt: its name, and its length in tokens."""

    name: str
    tokens: int


class SessionMemory:
    """Which parts have come before, and which each engine has been sent."""

    def __init__(self) -> None:
        self.seen: OrderedDict[str, None] = OrderedDict()
        self.cached: dict[str, OrderedDict[str, None]] = {}

    def session_of(self, parts: Sequence[PromptPart]) -> str:
        """Return the name that a session's requests share.

        The last part is the request's own or its session's: it names the
        session if it has come before, else the part before it does.
        """
        if not parts:
            return ""
        last = parts[-1].name
        return last if last in self.seen else parts[max(0, len(parts) - 2)].name

    def remember(self, parts: Sequence[PromptPart]) -> None:
        """Note the parts of a prompt that has come."""
        _touch(self.seen, (part.name for part in parts), PARTS_REMEMBERED)

    def uncached(self, endpoint: str, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of a prompt that ``endpoint`` has not been sent."""
        cached = self.cached.get(endpoint, OrderedDict())
        lengths = [0, *accumulate(part.tokens for part in parts)]
        hit = next(
            (place for place, part in enumerate(parts) if part.name not in cached),
            len(parts),
        )
        return lengths[-1] - lengths[hit]

    def fetch_source(
        self, endpoint: str, parts: Sequence[PromptPart], others: Iterable[str]
    ) -> str | None:
        """Return which of ``others`` keeps most of a prompt beyond ``endpoint``.

        None if none keeps enough more for a transfer to be worth its setup.
        """
        unread = self.uncached(endpoint, parts)
        kept = [(unread - self.uncached(name, parts), name) for name in others]
        gain, name = max(kept, default=(0, ""))
        return name if gain >= LEAST_FETCHED else None

    def sent(self, endpoint: str, parts: Sequence[PromptPart]) -> None:
        """Note that ``endpoint`` reads a prompt."""
        cached = self.cached.setdefault(endpoint, OrderedDict())
        _touch(cached, (part.name for part in parts), CACHED_PARTS)

    def forget(self, endpoint: str) -> None:
        """Forget the cache of an endpoint that is gone."""
        self.cached.pop(endpoint, None)


def choose_for_session(ranked: Sequence[str], outstanding: Mapping[str, float]) -> str:
    """Return the endpoint for a prompt of a session.

    ``ranked`` has the endpoints in the session's order, ``outstanding`` the
    prefill that each still has to do, in tokens.
    """
    mean = sum(outstanding[name] for name in ranked) / len(ranked)
    bound = LOAD_FACTOR * mean + LOAD_ALLOWANCE
    fitting = (name for name in ranked if outstanding[name] <= bound)
    return next(fitting, min(ranked, key=lambda name: outstanding[name]))


def _touch(memory: OrderedDict[str, None], names: Iterable[str], limit: int) -> None:
    for name in names:
        memory[name] = None
        memory.move_to_end(name)
    while len(memory) > limit:
        memory.popitem(last=False)
