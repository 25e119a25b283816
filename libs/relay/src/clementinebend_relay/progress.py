"""What has become of one call so far: its attempts, and what they cost."""

from typing import NamedTuple

from clementinebend_relay.admission import Admitted
from clementinebend_relay.models import Reason, Rejection
from clementinebend_transport.http_types import Response

BROKEN_MARGIN = 8
"""Events counted beside those seen when a stream breaks off: those that the
endpoint may have delivered before it noticed, at most 0.05 s of its work."""

NOT_RUN_PAUSE = 0.25
"""Seconds after which a caller may come back to an endpoint that was full."""


class Usage(NamedTuple):
    """What a call cost, in tokens, and in endpoints asked."""

    tokens: int
    attempts: int


class CallProgress:
    """The state of one call; the task that serves it owns it."""

    def __init__(self, admitted: Admitted, deadline: float) -> None:
        self.admitted = admitted
        self.deadline = deadline
        self.attempts = 0
        self.tried: list[str] = []
        self.may_have_run = False
        self.events = 0
        self.last_event = admitted.call.last_event
        self.is_whole = False
        self.failure: Response | None = None
        self.problem = "no endpoint is at hand"

    @property
    def attempts_left(self) -> int:
        """How many more endpoints the call may be sent to."""
        return self.admitted.route.max_attempts - self.attempts

    def usage(self) -> Usage:
        """Return what the call cost: its prompt once, and what was delivered."""
        if not self.may_have_run:
            return Usage(0, self.attempts)
        call = self.admitted.call
        events = self.events if self.is_whole else self.events + BROKEN_MARGIN
        made = min(call.max_output_tokens, events * self.admitted.service.event_tokens)
        return Usage(call.prompt_tokens + made, self.attempts)

    def rejection(self, now: float) -> Rejection:
        """Return why the call ends without an endpoint's answer."""
        is_late = now >= self.deadline
        if self.may_have_run:
            reason = Reason.TIMEOUT_MAY_HAVE_RUN if is_late else Reason.MAY_HAVE_RUN
            return Rejection(reason, self.problem)
        if is_late:
            return Rejection(Reason.TIMEOUT_NOT_RUN, self.problem, NOT_RUN_PAUSE)
        reason = Reason.NOT_RUN if self.attempts else Reason.NO_ENDPOINT
        return Rejection(reason, self.problem, NOT_RUN_PAUSE)
