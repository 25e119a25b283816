"""What this entry sees of one boot of an endpoint: its load, pace, health and doubt."""

from collections import Counter
from math import inf
from typing import NamedTuple

from clementinebend_relay.decisions import log_decision
from clementinebend_relay.models import Endpoint
from clementinebend_routing.outliers import Health
from clementinebend_routing.prefill import Pace
from clementinebend_routing.silence import (
    SILENT_SECONDS,
    STREAM_SILENT_SECONDS,
    Doubt,
    is_retry_due,
    on_heard,
    on_silence,
    on_tried,
)
from clementinebend_transport.client_connection import Address

LEAVING_SECONDS = 120.0
"""How long an endpoint's word that it leaves holds: far longer than leaving takes, and
bounded, so that one that errs gets work again. It ends with the endpoint's boot."""

LONGEST_PAUSE = 60.0
"""The longest pause in seconds that an endpoint gets without being asked again."""


class Unread(NamedTuple):
    """A call at an endpoint of which nothing has come back yet.

    ``tokens`` of its prompt are to be read there, after ``ahead`` others; what
    ``fetch_from`` keeps of it is fetched instead.
    """

    priority: int
    tokens: int
    ahead: float
    since: float
    fetch_from: Address | None


class EndpointState:
    """What this entry knows of one endpoint; times on the steady clock.

    ``prefill`` is the tokens to be read of all ``unread`` calls, by priority.
    ``heard_at`` is when the endpoint last sent bytes, or became known; ``answered_at``
    the same, if it ever has sent any. ``available_since`` is when it was added or
    became available again: it may be cold from then on; ``cold_until`` is the end of
    the cold time that it announced. ``last_sent_at`` is when this entry last sent it a
    call.
    """

    def __init__(self, endpoint: Endpoint, now: float) -> None:
        self.endpoint = endpoint
        self.offset = -1
        self.in_flight = 0
        self.prefill: Counter[int] = Counter()
        self.health = Health()
        self.pace = Pace()
        self.heard_at = now
        self.answered_at = -inf
        self.announced_at = now
        self.doubt = Doubt()
        self.unread: dict[str, Unread] = {}
        self.lapsed_at: float | None = None
        self.leaving_until = -inf
        self.paused_until = -inf
        self.cold_until = -inf
        self.available_since = now
        self.last_sent_at = -inf

    def is_leaving(self, now: float) -> bool:
        """Tell whether the endpoint is about to end, by its announcement or answers.

        Its answers go before announcements, which may be old, while the store is away.
        """
        return self.endpoint.is_leaving or now < self.leaving_until

    def is_open(self, now: float) -> bool:
        """Tell whether the endpoint takes work: it neither leaves nor wants a pause."""
        return not self.is_leaving(now) and now >= self.paused_until

    def on_leaving(self, now: float) -> bool:
        """Take the endpoint's word that it leaves; return whether that is new."""
        is_new = not self.is_leaving(now)
        self.leaving_until = now + LEAVING_SECONDS
        return is_new

    def on_pause(self, seconds: float, now: float) -> None:
        """Take that the endpoint wants nothing from this entry for some seconds."""
        self.paused_until = max(self.paused_until, now + min(seconds, LONGEST_PAUSE))

    def add_unread(self, request_id: str, call: Unread) -> None:
        """Count a call that is sent there."""
        self.unread[request_id] = call
        self.prefill[call.priority] += call.tokens

    def take_unread(self, request_id: str) -> Unread | None:
        """Count a call no more, as its first token has come or it has ended."""
        call = self.unread.pop(request_id, None)
        if call is not None:
            self.prefill[call.priority] -= call.tokens
        return call

    def ahead_of(self, priority: int) -> int:
        """Return this entry's tokens there that are read before a new call's prompt."""
        return sum(
            tokens for level, tokens in self.prefill.items() if level <= priority
        )

    def silent_for(self, now: float) -> float:
        """Return how long something has been owed and no byte has come."""
        owed = [call.since for call in self.unread.values()]
        if self.is_streaming():
            owed.append(self.heard_at)
        if not owed:
            return 0.0
        return max(0.0, now - max(min(owed), self.heard_at))

    def is_streaming(self) -> bool:
        """Tell whether an answer has begun and not ended."""
        return self.in_flight > len(self.unread)

    def is_silent(self, now: float) -> bool:
        """Tell whether the endpoint owes something and has sent nothing for long."""
        limit = STREAM_SILENT_SECONDS if self.is_streaming() else SILENT_SECONDS
        return self.silent_for(now) >= limit

    def is_doubted(self, now: float) -> bool:
        """Tell whether the endpoint should get no work while others can have it."""
        if self.is_silent(now):
            self.note_silence(now)
            return True
        return not is_retry_due(self.doubt, self.announced_at, now)

    def on_heard(self, now: float) -> None:
        """Take note that bytes of an answer have come."""
        self.heard_at = self.answered_at = now
        if self.doubt.since is not None:
            self.available_since = now
            log_decision("endpoint trusted again", endpoint=self.endpoint.name)
        if self.doubt.in_a_row:
            self.doubt = on_heard(self.doubt)

    def on_unreachable(self, now: float) -> None:
        """Take note that the endpoint takes no connection, or is silent.

        An idle endpoint that is dark draws the next calls again and again, and a
        bounded number of ejections does not keep them from it.
        """
        if self.doubt.since is not None:
            return
        self.doubt = on_silence(self.doubt, now)
        log_decision(
            "endpoint doubted",
            endpoint=self.endpoint.name,
            silent_s=round(self.silent_for(now), 3),
            in_a_row=self.doubt.in_a_row,
        )

    def on_tried(self) -> None:
        """Take note that a call goes there, doubted or not."""
        self.doubt = on_tried(self.doubt)

    def note_silence(self, now: float) -> None:
        """Begin to doubt an endpoint that is silent about first tokens or streams.

        A plain service may work on one call for longer: it is avoided only while it
        owes the answer.
        """
        if not self.is_silent(now):
            return
        has_prompts = any(call.tokens for call in self.unread.values())
        if has_prompts or self.is_streaming():
            self.on_unreachable(now)
