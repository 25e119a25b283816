"""What has become of one call so far: its attempts, and what they cost."""

from random import random
from typing import NamedTuple

from clementinebend_relay.admission import Admitted
from clementinebend_relay.models import Reason, Rejection, RouteKind
from clementinebend_relay.survey import Survey
from clementinebend_transport.http_types import Response

NOT_RUN_RETRY_AFTER = 0.25
"""Seconds after which a caller may come back to an endpoint that was full."""


RETRY_AFTER_SPREAD = 0.25
"""Part of a pause over which callers come back, so that endpoints are not full at once
when it ends."""


class Usage(NamedTuple):
    """What a call cost, in tokens, and in endpoints asked."""

    tokens: int
    attempts: int


class CallProgress:
    """The state of one call; the task that serves it owns it.

    ``attempts`` counts the endpoints that were there to take it,
    ``missing_endpoints`` those
    that were not, ``sent`` how often it went out to either, ``sent_at`` is when it was
    last sent. ``ahead`` and ``unread`` are the tokens to be read before its prompt, and
    of it, where it was sent last.
    ``survey`` is what was found out for its first attempt, ``reports`` how many
    endpoints were told of before the last one. ``attempt_event_at`` is when the first
    event of the last attempt came, ``is_sound`` whether it was seen to harm nothing,
    ``refusal`` why no further one was made.
    ``pause`` is in how many seconds an endpoint takes work again, if all want a pause.
    """

    def __init__(
        self, admitted: Admitted, deadline: float, survey: Survey | None = None
    ) -> None:
        self.admitted = admitted
        self.deadline = deadline
        self.survey = survey
        self.attempts = 0
        self.missing_endpoints = 0
        self.sent = 0
        self.sent_at = 0.0
        self.tried: list[str] = []
        self.may_have_run = False
        self.events = 0
        self.ahead = 0.0
        self.unread = 0
        self.reports = 0
        self.first_event_at: float | None = None
        self.attempt_event_at: float | None = None
        self.is_sound = False
        self.refusal: Rejection | None = None
        self.pause: float | None = None
        self.last_event = admitted.call.last_event
        self.is_whole = False
        self.failure: Response | None = None
        self.problem = "no endpoint is at hand"

    @property
    def attempts_left(self) -> int:
        """How many more endpoints the call may be sent to."""
        return self.admitted.route.max_attempts - self.attempts

    def usage(self) -> Usage:
        """Return what the call cost: its prompt once, and what was delivered.

        A team pays for what it gets: a call of which nothing was delivered
        costs nothing, whether or not an endpoint ran it.
        """
        call = self.admitted.call
        if self.events == 0 and not self.is_whole:
            return Usage(0, self.attempts)
        output_tokens = self.events * self.admitted.service.event_tokens
        if self.admitted.route.kind is not RouteKind.STREAM:
            output_tokens = call.max_output_tokens
        output_tokens = min(call.max_output_tokens, output_tokens)
        return Usage(call.prompt_tokens + output_tokens, self.attempts)

    def rejection(self, now: float) -> Rejection:
        """Return why the call ends without an endpoint's answer."""
        is_late = now >= self.deadline
        if self.may_have_run:
            reason = Reason.TIMEOUT_MAY_HAVE_RUN if is_late else Reason.MAY_HAVE_RUN
            return Rejection(reason, self.problem)
        if self.refusal is not None:
            return self.refusal
        if is_late:
            return Rejection(Reason.TIMEOUT_NOT_RUN, self.problem, NOT_RUN_RETRY_AFTER)
        reason = Reason.NOT_RUN if self.attempts else Reason.NO_ENDPOINT
        return Rejection(reason, self.problem, self._retry_after())

    def _retry_after(self) -> float:
        """Return when the caller may come back: after a pause, not all at once."""
        if self.pause is None:
            return NOT_RUN_RETRY_AFTER
        return self.pause + random() * max(
            NOT_RUN_RETRY_AFTER, self.pause * RETRY_AFTER_SPREAD
        )
