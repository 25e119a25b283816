"""Sends a call to endpoints, one after another, until one has a usable response."""

from asyncio import get_running_loop, sleep
from collections.abc import Callable
from contextlib import ExitStack
from math import inf
from typing import NamedTuple

from clementinebend_relay.admission import Admitted
from clementinebend_relay.bodies import read_body
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.dispatch import (
    Dispatcher,
    NotSent,
    ResponseLost,
    ResponseStarted,
)
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.interfaces import Verdict
from clementinebend_relay.metrics import broken_answers
from clementinebend_relay.models import Rejection, RouteKind, boot_name
from clementinebend_relay.progress import CallProgress
from clementinebend_relay.prompt_parts import logged_names
from clementinebend_relay.quarantine.news import QuarantineSync
from clementinebend_relay.survey import Placement, Survey
from clementinebend_routing.fatal_runs import PART_SOUND_SECONDS, counts_as_evidence
from clementinebend_transport.http_client import OpenAnswer
from clementinebend_transport.http_types import Response

RETRYABLE_ATTEMPT_SHARE = 0.5
"""Share of the remaining time that an attempt gets while another may follow it."""

STREAM_HEAD_TARGETS = 2.0
"""Timeout for the head of a stream before the call is sent to another endpoint.

In multiples of the route's latency target.
"""

MAX_FAILURE_BYTES = 256 * 1024
"""Maximum size in bytes of the body of an unsuccessful response.

The body is kept while the call is retried, or read to its end so that the connection
can be reused.
"""

MAX_MISSING_ENDPOINTS = 3
"""Number of unreachable or ended endpoints after which a call is given up.

They don't count as attempts: no endpoint of the call's service was asked to run it.
"""

BARE_END_SECONDS = 0.25
"""Seconds after the end of an answer without length or chunks in which other bytes of
its endpoint show that this has not ended with it."""

SOUND_INTERVAL = 1.0
"""Seconds between two records that a long answer still runs well."""

RATE_LIMIT_WAIT = 1.0
"""Longest time in seconds that an attempt waits while all queried endpoints are at
their call rate limit."""

RATE_LIMIT_PAUSE = 0.05
"""Seconds between two surveys of an attempt that waits for the rate limit."""


class OpenAttempt(NamedTuple):
    """An attempt whose response has a successful head.

    Closing ``cleanup`` removes the attempt from those in flight at its endpoint.
    """

    state: EndpointState
    answer: OpenAnswer
    cleanup: ExitStack


class BareEnd(NamedTuple):
    """An answer without length or chunks that has ended ``at`` some time."""

    state: EndpointState
    admitted: Admitted
    sent_at: float
    at: float


class Attempts:
    """Sends a call to one endpoint after another."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        news: QuarantineSync,
        clock: Callable[[], float],
    ) -> None:
        self.dispatcher = dispatcher
        self.quarantine = news.quarantine
        self.news = news
        self.clock = clock

    async def next(self, progress: CallProgress) -> OpenAttempt | None:
        """Return the next attempt whose response has a successful head, or None.

        If there is none, ``progress`` holds the reason and the last failure response.
        """
        while progress.missing_endpoints < MAX_MISSING_ENDPOINTS and self._may_attempt(
            progress
        ):
            fingerprint = progress.admitted.fingerprint
            parts = progress.admitted.part_subjects
            progress.refusal = await self._turn(progress)
            if progress.refusal is not None:
                return None
            turn_at = self.clock()
            cleanup = ExitStack()
            cleanup.enter_context(self.quarantine.runs.running(fingerprint, *parts))
            running = None
            try:
                placement = await self._choose_placement(progress)
                if placement is None:
                    progress.pause = self.dispatcher.endpoints.retry_delay(
                        progress.admitted.service.name,
                        progress.admitted.software_version,
                    )
                    return None
                progress.refusal = self.quarantine.refusal_since(
                    turn_at, fingerprint, parts
                )
                if progress.refusal is not None:
                    return None
                state = placement.state
                progress.reports = placement.reports
                sending = self.dispatcher.in_flight(progress.admitted, placement)
                cleanup.enter_context(sending)
                outcome = await self._send(progress, state)
                if _is_endpoint_missing(outcome):
                    progress.missing_endpoints += 1
                    progress.attempts -= 1
                if isinstance(outcome, NotSent):
                    self.quarantine.turns.on_unreachable(fingerprint)
                    continue
                running = await self._relayable_attempt(progress, outcome, cleanup)
            finally:
                if running is None:
                    cleanup.close()
            if running is not None:
                return running
        return None

    async def _turn(self, progress: CallProgress) -> Rejection | None:
        """Wait until a call may be sent; return its rejection if it may not.

        A trial run has one attempt, so that it ends one endpoint at most.
        """
        admitted = progress.admitted
        fingerprint, parts = admitted.fingerprint, admitted.part_subjects
        if progress.tried:
            refusal = self.quarantine.refusal_since(-inf, fingerprint, parts)
            if refusal is not None:
                return refusal
        return await self.quarantine.wait_for_turn(
            fingerprint, progress.deadline, admitted.route.may_repeat, parts
        )

    def on_writing(self, progress: CallProgress) -> None:
        """Record that an endpoint has written on a prompt for a while, and lives.

        That clears the parts of the prompt, once in each interval.
        """
        now = self.clock()
        if now - progress.parts_sound_at >= SOUND_INTERVAL:
            progress.parts_sound_at = now
            self._clear_parts(progress.admitted.part_subjects)

    def on_end(self, progress: CallProgress, running: OpenAttempt) -> None:
        """Record that an answer has been read to its end."""
        if not running.answer.ends_with_channel:
            self.on_sound(progress)
            self.on_whole(progress, running.state)
            return
        bare = BareEnd(running.state, progress.admitted, progress.sent_at, self.clock())
        get_running_loop().call_later(
            BARE_END_SECONDS, self._confirm, bare, progress.attempt_event_at
        )

    def _confirm(self, bare: BareEnd, first_event_at: float | None) -> None:
        """Decide whether an answer whose end proves nothing was whole.

        If its endpoint has been heard since, it was. If it has not, its address tells
        whether it has ended.
        """
        state, admitted = bare.state, bare.admitted
        if state.heard_at > bare.at:
            for subject in (admitted.fingerprint, *admitted.part_subjects):
                self.news.on_sound(subject)
            return
        self.dispatcher.ends.on_broken(
            state,
            admitted.fingerprint,
            bare.sent_at,
            first_event_at,
            admitted.part_subjects,
            bare.at,
        )

    def on_whole(self, progress: CallProgress, state: EndpointState) -> None:
        """Record that an endpoint has completed an answer.

        It clears the parts of the prompt if the endpoint is still there after as long
        as it takes to end under one of them.
        """
        parts = progress.admitted.part_subjects
        if not parts or progress.parts_sound_at > -inf:
            return
        began_at = progress.attempt_event_at
        written = 0.0 if began_at is None else self.clock() - began_at
        pause = max(0.0, PART_SOUND_SECONDS - written)
        boot = boot_name(state.endpoint)
        get_running_loop().call_later(pause, self._clear_if_alive, parts, boot)

    def _clear_if_alive(self, parts: tuple[str, ...], boot: str) -> None:
        has_ended = self.quarantine.ends.known_end(boot) < inf
        if not has_ended and boot not in self.dispatcher.ends.broken:
            self._clear_parts(parts)

    def _clear_parts(self, parts: tuple[str, ...]) -> None:
        for part in parts:
            self.news.on_sound(part)

    def on_sound(self, progress: CallProgress) -> None:
        """Record that a call completed, or runs long, without ending its endpoint.

        A call that runs on is part of its request's history, once in each interval.
        """
        fingerprint, now = progress.admitted.fingerprint, self.clock()
        before, is_due = progress.sound_at, now - progress.sound_at >= SOUND_INTERVAL
        if is_due:
            progress.sound_at = now
        if before == -inf:
            self.news.on_sound(fingerprint)
        elif is_due:
            self.quarantine.requests.history.on_good_run(fingerprint)

    def on_broken(
        self, progress: CallProgress, state: EndpointState, problem: str
    ) -> None:
        """Record that an endpoint closed the connection within its response."""
        admitted = progress.admitted
        streamed_from = progress.attempt_event_at
        streamed = 0.0 if streamed_from is None else self.clock() - streamed_from
        broken_answers.labels(admitted.service.name).inc()
        log_decision(
            "answer broke off",
            request_id=admitted.call.request_id,
            fingerprint=admitted.fingerprint,
            parts=logged_names(admitted.shared_parts),
            endpoint=state.endpoint.name,
            events=progress.events,
            sent_s=round(self.clock() - progress.sent_at, 4),
            streamed_s=round(streamed, 4),
            in_flight=state.in_flight,
            problem=problem,
        )
        if counts_as_evidence(streamed):
            ends = self.dispatcher.ends
            ends.on_broken(
                state,
                admitted.fingerprint,
                progress.sent_at,
                streamed_from,
                admitted.part_subjects,
            )

    async def _choose_placement(self, progress: CallProgress) -> Placement | None:
        """Return the endpoint for the next attempt, from a survey that is still valid.

        An endpoint in need is returned only with a permit. If all endpoints are in
        need, the call is refused at once.
        """
        dispatcher, admitted = self.dispatcher, progress.admitted
        while self.clock() < progress.deadline:
            survey = await self._valid_survey(progress)
            progress.passed_over = survey.passed_over
            if survey.limit_wait is not None:
                rejections = dispatcher.limited_rejections
                progress.refusal = rejections.reject(admitted, survey.limit_wait)
                return None
            placement = survey.placement
            if placement is None or await dispatcher.has_permit(
                admitted, placement.state
            ):
                return placement
        return None

    async def _valid_survey(self, progress: CallProgress) -> Survey:
        """Return a survey by which a call may be sent now.

        Waits up to ``RATE_LIMIT_WAIT`` while the endpoints are at their rate limit.
        """
        survey, progress.survey = progress.survey, None
        fingerprint = progress.admitted.fingerprint
        if self.quarantine.confinement(fingerprint) is not None:
            survey = None
        until = min(progress.deadline, self.clock() + RATE_LIMIT_WAIT)
        dispatcher = self.dispatcher
        while (
            survey is None or survey.is_rate_limited or not dispatcher.is_usable(survey)
        ):
            survey = await dispatcher.survey(progress.admitted, progress.tried)
            if survey.is_rate_limited and self.clock() + RATE_LIMIT_PAUSE >= until:
                progress.problem = "the endpoints take no more calls in this second"
                break
            if survey.is_rate_limited:
                await sleep(RATE_LIMIT_PAUSE)
        return survey

    def _may_attempt(self, progress: CallProgress) -> bool:
        if progress.attempts_left <= 0 or self.clock() >= progress.deadline:
            return False
        if progress.may_have_run and not progress.admitted.route.may_repeat:
            return False
        if progress.sent == 0:
            return True
        service = progress.admitted.service.name
        return self.dispatcher.may_retry(service)

    async def _send(
        self, progress: CallProgress, state: EndpointState
    ) -> ResponseStarted | NotSent | ResponseLost:
        progress.attempts += 1
        progress.sent_at = self.clock()
        progress.attempt_event_at = None
        progress.sound_at = -inf
        progress.parts_sound_at = -inf
        progress.tried.append(state.endpoint.name)
        progress.software_versions.append(state.endpoint.software_version)
        sent = state.unread[progress.admitted.call.request_id]
        progress.ahead, progress.unread = sent.ahead, sent.tokens
        may_have_run_before = progress.may_have_run
        progress.may_have_run = True
        outcome = await self.dispatcher.open(
            progress.admitted,
            state,
            progress.deadline,
            self._head_deadline(progress),
            progress.last_event,
        )
        progress.sent += not isinstance(outcome, NotSent)
        if isinstance(outcome, NotSent):
            progress.may_have_run = may_have_run_before
            progress.problem = outcome.problem
        elif isinstance(outcome, ResponseLost):
            progress.problem = outcome.problem
            if outcome.broke_off:
                self.on_broken(progress, state, outcome.problem)
        elif outcome.verdict in (Verdict.NOT_RUN, Verdict.WRONG_ENDPOINT):
            progress.may_have_run = may_have_run_before
        return outcome

    def _head_deadline(self, progress: CallProgress) -> float:
        """Return the time by which the head of an attempt's response must arrive."""
        route = progress.admitted.route
        now = self.clock()
        if not route.may_repeat or progress.attempts_left <= 0:
            return progress.deadline
        if route.kind is RouteKind.STREAM:
            return min(
                progress.deadline, now + STREAM_HEAD_TARGETS * route.latency_target
            )
        return now + (progress.deadline - now) * RETRYABLE_ATTEMPT_SHARE

    async def _relayable_attempt(
        self,
        progress: CallProgress,
        outcome: ResponseStarted | ResponseLost,
        cleanup: ExitStack,
    ) -> OpenAttempt | None:
        """Return the attempt if its response can be relayed, else record why not."""
        if isinstance(outcome, ResponseLost):
            return None
        name = outcome.state.endpoint.name
        call = progress.admitted.call
        match outcome.verdict:
            case Verdict.SUCCESS:
                return OpenAttempt(outcome.state, outcome.answer, cleanup)
            case Verdict.WRONG_ENDPOINT:
                progress.problem = "another endpoint has the address"
                outcome.answer.close()
                self.dispatcher.endpoints.drop(outcome.state, progress.problem)
            case Verdict.NOT_RUN:
                progress.problem = "the endpoint had no room"
                await read_body(outcome.answer, progress.deadline, MAX_FAILURE_BYTES)
            case Verdict.FOREIGN:
                progress.problem = "the answer belongs to another request"
                outcome.answer.close()
                self.dispatcher.endpoints.on_end(outcome.state, ok=False)
            case Verdict.FAILED:
                progress.problem = "the endpoint failed"
                progress.failure = await self._read_failure(outcome.answer, progress)
                self.dispatcher.endpoints.on_end(outcome.state, ok=False)
        log_decision(
            "attempt refused",
            request_id=call.request_id,
            endpoint=name,
            status=outcome.answer.status,
            verdict=outcome.verdict,
        )
        return None

    async def _read_failure(
        self, answer: OpenAnswer, progress: CallProgress
    ) -> Response | None:
        body = await read_body(answer, progress.deadline, MAX_FAILURE_BYTES)
        if body.is_error():
            return None
        self.on_sound(progress)
        headers = self.dispatcher.protocol.caller_headers(answer.headers)
        return Response(answer.status, headers, body.ok)


def _is_endpoint_missing(outcome: ResponseStarted | NotSent | ResponseLost) -> bool:
    """Return whether the endpoint was unreachable or has left its address."""
    if isinstance(outcome, ResponseStarted):
        return outcome.verdict is Verdict.WRONG_ENDPOINT
    return isinstance(outcome, NotSent)
