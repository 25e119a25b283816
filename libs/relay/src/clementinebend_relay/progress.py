"""The progress of one call: its attempts, its cost and why it failed."""

from copy import copy
from enum import StrEnum
from math import inf
from random import random
from typing import NamedTuple

from clementinebend_relay.admission import Admitted
from clementinebend_relay.models import Reason, Rejection, RouteKind
from clementinebend_relay.plain_choice import PlainChoice
from clementinebend_relay.stream_origins import StreamOrigin
from clementinebend_relay.survey import Survey
from clementinebend_transport.http_client import OpenAnswer
from clementinebend_transport.http_types import Response

NOT_RUN_RETRY_AFTER = 0.25
"""Retry-after delay in seconds of a call that was not run, e.g. at full endpoints."""

RETRY_AFTER_SPREAD = 0.25
"""Share of a pause by which retry-after delays are spread at random.

Otherwise all callers would return when the pause ends and fill the endpoints at once.
"""


class Obstacle(StrEnum):
    """Why no further attempt of a call is made."""

    NONE = ""
    NO_ATTEMPT_LEFT = "no attempt left"
    TIME_LIMIT = "time limit"
    MAY_HAVE_RUN = "may have run"
    MISSING_ENDPOINTS = "missing endpoints"
    RETRY_BUDGET = "retry budget"
    NO_ENDPOINT = "no endpoint"
    NOT_ALLOWED = "quarantine or request limit"
    NOT_RESUMABLE = "not resumable"
    VERSION_UNCERTAIN = "version uncertain"
    UNDER_WAY = "another attempt is under way"


class Usage(NamedTuple):
    """What a call cost: its tokens and its attempts."""

    tokens: int
    attempts: int


class CallProgress:
    """The state of one call, owned by the task that serves it.

    Attempts: ``attempts`` counts those at endpoints that were present, and
    ``missing_endpoints`` the endpoints that were unreachable or had ended. ``sent``
    counts how often the call was sent to either, and ``sent_at`` is when it was last
    sent. ``survey`` is the endpoint survey made before the first attempt.

    Last attempt: ``ahead`` is the number of prompt tokens that its endpoint had to read
    first, ``unread`` the number of the call's own tokens to be read. ``reports`` is
    how many endpoints' queues were reported before it, ``plain_choice`` what the choice
    for a call without a prompt was based on. ``attempt_event_at`` is when its first
    event arrived, ``sound_at`` when it was last known to do no harm, and
    ``parts_sound_at`` when that was last known of the parts of its prompt.

    ``waits_for_head`` is set if an attempt without the head of a response stays open to
    the time limit; ``head_due_at`` is when a concurrent one may be made, infinity if
    none waits. ``has_second`` is set while there is one,
    ``second_may_have_run`` once an earlier one may have run.

    ``tried`` and ``software_versions`` are the names of the endpoints that the call was
    sent to and the versions of their software. ``is_origin_uncertain`` is set once that
    of the endpoint that sent events turned out to be outdated. ``is_origin_told`` is
    set once others have been told where the stream began.

    ``answer`` is the response whose stream is being read, ``unrelayed_bytes`` the size
    of what has been read of it and not been sent on.

    ``refusal`` is the rejection due to which no further attempt was made, ``obstacle``
    why none was. ``pause`` is the time in seconds until an endpoint accepts calls
    again, if all have asked for a pause.
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
        self.software_versions: list[str] = []
        self.is_origin_uncertain = False
        self.is_origin_told = False
        self.waits_for_head = False
        self.head_due_at = inf
        self.has_second = False
        self.may_have_run = False
        self.second_may_have_run = False
        self.events = 0
        self.ahead = 0.0
        self.unread = 0
        self.reports = 0
        self.plain_choice: PlainChoice | None = None
        self.passed_over = 0
        self.first_event_at: float | None = None
        self.attempt_event_at: float | None = None
        self.sound_at = -inf
        self.parts_sound_at = -inf
        self.refusal: Rejection | None = None
        self.obstacle = Obstacle.NONE
        self.pause: float | None = None
        self.last_event = admitted.call.last_event
        self.is_whole = False
        self.answer: OpenAnswer | None = None
        self.unrelayed_bytes = 0
        self.failure: Response | None = None
        self.problem = "no endpoint is at hand"

    @property
    def attempts_left(self) -> int:
        """How many more attempts the call may make."""
        return self.admitted.route.max_attempts - self.attempts

    @property
    def is_version_certain(self) -> bool:
        """Whether another endpoint of the version that began may go on, if any did."""
        return not self.is_origin_uncertain and (
            self.events == 0 or self.is_origin_told
        )

    def for_second_attempt(self) -> "CallProgress":
        """Return the progress of an attempt that runs concurrently with the last one.

        The lists of endpoints tried and of their software versions are shared.
        """
        other = copy(self)
        other.answer = None
        other.unrelayed_bytes = 0
        other.attempt_event_at = None
        other.sent = max(1, self.sent)
        other.may_have_run = False
        other.waits_for_head = False
        other.head_due_at = inf
        other.has_second = False
        return other

    def add_attempts(self, other: "CallProgress") -> None:
        """Count attempts made concurrently with the last one, which stays the last."""
        self.attempts = max(self.attempts, other.attempts)
        self.missing_endpoints = max(self.missing_endpoints, other.missing_endpoints)
        self.sent = max(self.sent, other.sent)
        self.second_may_have_run |= other.may_have_run
        self.obstacle = other.obstacle
        self.problem = other.problem
        self.pause = other.pause
        self.failure = other.failure or self.failure

    def adopt_attempt(self, other: "CallProgress") -> None:
        """Make the last attempt of ``other`` the last attempt of the call."""
        self.sent_at = other.sent_at
        self.head_due_at = inf
        self.ahead = other.ahead
        self.unread = other.unread
        self.reports = other.reports
        self.plain_choice = other.plain_choice
        self.passed_over = other.passed_over
        self.attempt_event_at = other.attempt_event_at
        self.sound_at = other.sound_at
        self.parts_sound_at = other.parts_sound_at

    def begin(self, software_version: str) -> None:
        """Bind the call to the version of the software that sent its first event."""
        if self.admitted.origin is None:
            origin = StreamOrigin(self.admitted.service.name, software_version)
            self.admitted = self.admitted._replace(origin=origin)

    def usage(self) -> Usage:
        """Return the cost of the call: its prompt once, and the output delivered.

        A team pays only for what it receives: a call without any delivered output
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
        """Return the rejection of a call that got no response from an endpoint."""
        is_late = now >= self.deadline
        if self.may_have_run or self.second_may_have_run:
            reason = Reason.TIMEOUT_MAY_HAVE_RUN if is_late else Reason.MAY_HAVE_RUN
            return Rejection(reason, self.problem)
        if self.refusal is not None:
            return self.refusal
        if is_late:
            return Rejection(Reason.TIMEOUT_NOT_RUN, self.problem, NOT_RUN_RETRY_AFTER)
        reason = Reason.NOT_RUN if self.attempts else Reason.NO_ENDPOINT
        return Rejection(reason, self.problem, self._retry_after())

    def _retry_after(self) -> float:
        """Return the retry-after delay; after a pause, it is spread at random."""
        if self.pause is None:
            return NOT_RUN_RETRY_AFTER
        return self.pause + random() * max(
            NOT_RUN_RETRY_AFTER, self.pause * RETRY_AFTER_SPREAD
        )
