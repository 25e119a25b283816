"""State of one boot of an endpoint as seen by this entry.

Holds its load, prompt reading speed, health, and whether it is suspected to be down.
"""

from collections import Counter
from collections.abc import Callable
from math import inf
from typing import NamedTuple

from clementinebend_relay.decisions import log_decision
from clementinebend_relay.models import Endpoint
from clementinebend_routing.outliers import Health
from clementinebend_routing.prefill import Pace
from clementinebend_routing.request_limits import NO_LIMIT
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
"""Seconds for which an endpoint counts as leaving after it said so in an answer: far
longer than leaving takes, but bounded, so that an endpoint that said so by mistake gets
calls again. A new boot of the endpoint does not count as leaving."""

MAX_PAUSE = 60.0
"""Upper limit in seconds of the pause that an endpoint can request at one time."""

SERVICE_VALID_SECONDS = 1.0
"""Seconds for which a reported service time weighs which endpoints are probed; a probe
brings a new one."""

OTHERS_VALID_SECONDS = 1.0
"""Seconds for which the number of other entries' calls at an endpoint is used."""


class UnreadCall(NamedTuple):
    """A call sent to an endpoint that has not returned its first token yet.

    The endpoint has to read ``tokens`` of its prompt, after ``ahead`` tokens of other
    calls. The parts of the prompt cached by the endpoint at ``fetch_from`` are fetched
    from there instead.
    """

    priority: int
    tokens: int
    ahead: float
    since: float
    fetch_from: Address | None


class EndpointState:
    """State of one endpoint; times are on the monotonic clock.

    ``prefill`` is the number of prompt tokens left to read of all ``unread`` calls, by
    priority. ``heard_at`` is when the endpoint last sent bytes, initially when it was
    added; ``answered_at`` is when it last sent bytes, initially minus infinity.
    ``available_since`` is when it was added or became available again: it may be cold
    from then on; ``cold_until`` is the end of the cold time that it announced.
    ``lapsed_at`` is when its record was removed, and ``last_resort_until`` until when
    it then gets calls if no other one can.
    ``last_sent_at`` is when this entry last sent it a call, ``sent`` how many calls it
    has sent. ``limit`` is the request limit known since ``limit_since``, before
    which this entry had sent ``sent_before_limit`` calls. ``others_in_flight`` is the
    number of other entries' calls by the queue report of ``others_known_at``.
    ``service_seconds`` is the time for a plain call by the one of ``service_known_at``.
    ``ignored`` is the number of ignored announcements of earlier boots, logged last at
    ``ignored_logged_at``.
    ``is_overloaded`` tells whether this entry is, so that silence proves nothing.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        now: float,
        is_overloaded: Callable[[], bool] = lambda: False,
    ) -> None:
        self.endpoint = endpoint
        self.is_overloaded = is_overloaded
        self.offset = -1
        self.in_flight = 0
        self.prefill: Counter[int] = Counter()
        self.health = Health()
        self.pace = Pace()
        self.heard_at = now
        self.answered_at = -inf
        self.announced_at = now
        self.doubt = Doubt()
        self.unread: dict[str, UnreadCall] = {}
        self.lapsed_at: float | None = None
        self.last_resort_until = inf
        self.leaving_until = -inf
        self.paused_until = -inf
        self.cold_until = -inf
        self.available_since = now
        self.last_sent_at = -inf
        self.sent = 0
        self.limit = NO_LIMIT
        self.limit_since = now
        self.sent_before_limit = 0
        self.others_in_flight = 0
        self.others_known_at = -inf
        self.service_seconds: float | None = None
        self.service_known_at = -inf
        self.ignored = 0
        self.ignored_logged_at = -inf

    def is_leaving(self, now: float) -> bool:
        """Return whether the endpoint is about to stop, by its announcement or answers.

        Answers are checked as well because announcements may be outdated while the
        store is unavailable.
        """
        return self.endpoint.is_leaving or now < self.leaving_until

    def accepts_calls(self, now: float) -> bool:
        """Return whether the endpoint is neither leaving nor in a requested pause."""
        return not self.is_leaving(now) and now >= self.paused_until

    def on_leaving(self, now: float) -> bool:
        """Mark the endpoint as leaving; return whether it was not marked before."""
        is_new = not self.is_leaving(now)
        self.leaving_until = now + LEAVING_SECONDS
        return is_new

    def on_pause(self, seconds: float, now: float) -> None:
        """Apply the endpoint's request to get no calls from this entry for a while."""
        self.paused_until = max(self.paused_until, now + min(seconds, MAX_PAUSE))

    def on_queue_report(self, running: int, now: float) -> None:
        """Record how many calls of all entries run at the endpoint."""
        self.others_in_flight = max(0, running - self.in_flight)
        self.others_known_at = now

    def on_service_report(self, seconds: float | None, now: float) -> None:
        """Record the seconds that the endpoint takes for a plain call, if known.

        An impossible time, as of a damaged report, counts as unknown.
        """
        is_possible = seconds is not None and 0.0 < seconds < inf
        self.service_seconds = seconds if is_possible else None
        self.service_known_at = now

    def known_service(self, now: float) -> float | None:
        """Return the seconds for a plain call, or None if unknown or outdated."""
        if now - self.service_known_at > SERVICE_VALID_SECONDS:
            return None
        return self.service_seconds

    def all_in_flight(self, now: float) -> int | None:
        """Return how many calls of all entries run there, or None if not known."""
        if now - self.others_known_at > OTHERS_VALID_SECONDS:
            return None
        return self.in_flight + self.others_in_flight

    def add_unread(self, request_id: str, call: UnreadCall) -> None:
        """Add a call that is sent to the endpoint."""
        self.unread[request_id] = call
        self.prefill[call.priority] += call.tokens

    def pop_unread(self, request_id: str) -> UnreadCall | None:
        """Remove a call whose first token has arrived or that has ended."""
        call = self.unread.pop(request_id, None)
        if call is not None:
            self.prefill[call.priority] -= call.tokens
        return call

    def count_silence_from(self, request_id: str, since: float) -> None:
        """Count the silence of a call from ``since``: infinity while it is not read."""
        call = self.unread.get(request_id)
        if call is not None:
            self.unread[request_id] = call._replace(since=since)

    def tokens_ahead(self, priority: int) -> int:
        """Return how many tokens of this entry's calls are read before a new call."""
        return sum(
            tokens for level, tokens in self.prefill.items() if level <= priority
        )

    def silent_for(self, now: float) -> float:
        """Return for how long the endpoint has had calls to answer but sent no byte."""
        pending_since = [call.since for call in self.unread.values()]
        if self.is_streaming():
            pending_since.append(self.heard_at)
        if not pending_since:
            return 0.0
        return max(0.0, now - max(min(pending_since), self.heard_at))

    def is_streaming(self) -> bool:
        """Return whether an answer of the endpoint has begun and not ended."""
        return self.in_flight > len(self.unread)

    def is_silent(self, now: float) -> bool:
        """Return whether the endpoint has been silent beyond the applicable limit."""
        limit = STREAM_SILENT_SECONDS if self.is_streaming() else SILENT_SECONDS
        return self.silent_for(now) >= limit

    def is_doubted(self, now: float) -> bool:
        """Return whether the endpoint should get calls only if no other one can."""
        if self.is_silent(now) and not self.is_overloaded():
            self.check_silence(now)
            return True
        return not is_retry_due(self.doubt, self.announced_at, now)

    def on_heard(self, now: float) -> None:
        """Record that bytes of an answer have arrived."""
        self.heard_at = self.answered_at = now
        if self.doubt.since is not None:
            self.available_since = now
            log_decision("endpoint trusted again", endpoint=self.endpoint.name)
        if self.doubt.in_a_row:
            self.doubt = on_heard(self.doubt)

    def on_unreachable(self, now: float) -> None:
        """Record that the endpoint accepts no connection, or is silent.

        An unresponsive endpoint looks idle and so attracts further calls. Ejection
        alone does not prevent that, as the number of ejected endpoints is bounded.
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
        """Record that a call is sent to the endpoint, doubted or not."""
        self.doubt = on_tried(self.doubt)

    def check_silence(self, now: float) -> None:
        """Mark the endpoint as doubted if prompts or streams have gone unanswered.

        A service without prompts or streams may work on one call for longer: its
        endpoint is avoided only until it has answered.
        """
        if self.is_overloaded() or not self.is_silent(now):
            return
        has_prompts = any(call.tokens for call in self.unread.values())
        if has_prompts or self.is_streaming():
            self.on_unreachable(now)
