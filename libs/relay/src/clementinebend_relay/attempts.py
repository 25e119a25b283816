"""Sends a call to endpoints, one after another, until one has a usable response."""

from asyncio import sleep
from collections.abc import Callable
from contextlib import ExitStack
from math import inf
from typing import NamedTuple

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
from clementinebend_relay.models import Rejection, RouteKind
from clementinebend_relay.planned_stop import PlannedStop
from clementinebend_relay.progress import CallProgress, Obstacle
from clementinebend_relay.quarantine.news import QuarantineSync
from clementinebend_relay.run_outcomes import RunOutcomes
from clementinebend_relay.survey import Placement, Survey
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


class Attempts:
    """Sends a call to one endpoint after another."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        news: QuarantineSync,
        planned_stop: PlannedStop,
        clock: Callable[[], float],
    ) -> None:
        self.dispatcher = dispatcher
        self.planned_stop = planned_stop
        self.quarantine = news.quarantine
        self.clock = clock
        self.outcomes = RunOutcomes(dispatcher, news, clock)

    async def next(self, progress: CallProgress) -> OpenAttempt | None:
        """Return the next attempt whose response has a successful head, or None.

        If there is none, ``progress`` holds the reason and the last failure response.
        """
        while (obstacle := self._obstacle(progress)) is Obstacle.NONE:
            fingerprint = progress.admitted.fingerprint
            parts = progress.admitted.part_subjects
            progress.refusal = await self._turn(progress)
            if progress.refusal is not None:
                progress.obstacle = Obstacle.NOT_ALLOWED
                return None
            turn_at = self.clock()
            cleanup = ExitStack()
            cleanup.enter_context(self.quarantine.runs.running(fingerprint, *parts))
            running = None
            try:
                placement = await self._choose_placement(progress)
                if placement is None:
                    progress.obstacle = self._obstacle_to_placement(progress)
                    progress.pause = self.dispatcher.endpoints.retry_delay(
                        progress.admitted.service.name,
                        progress.admitted.software_version,
                    )
                    return None
                progress.refusal = self._late_refusal(
                    progress
                ) or self.quarantine.refusal_since(turn_at, fingerprint, parts)
                if progress.refusal is not None:
                    progress.obstacle = Obstacle.NOT_ALLOWED
                    return None
                state = placement.state
                progress.reports = placement.reports
                progress.plain_choice = placement.plain
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
        progress.obstacle = obstacle
        return None

    def _late_refusal(self, progress: CallProgress) -> Rejection | None:
        """Return the rejection of a call that has waited for too long in a stop."""
        if progress.may_have_run or progress.second_may_have_run:
            return None
        return self.planned_stop.rejection(progress.admitted)

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

    def _obstacle(self, progress: CallProgress) -> Obstacle:
        """Return why a call may not be sent again; count a retry if it may."""
        may_repeat = progress.admitted.route.may_repeat
        obstacles = {
            Obstacle.MISSING_ENDPOINTS: (
                progress.missing_endpoints >= MAX_MISSING_ENDPOINTS
            ),
            Obstacle.NO_ATTEMPT_LEFT: progress.attempts_left <= 0,
            Obstacle.UNDER_WAY: progress.has_second,
            Obstacle.TIME_LIMIT: self.clock() >= progress.deadline,
            Obstacle.MAY_HAVE_RUN: progress.may_have_run and not may_repeat,
        }
        found = next((each for each, is_met in obstacles.items() if is_met), None)
        if found is not None:
            return found
        service = progress.admitted.service.name
        if progress.sent == 0 or self.dispatcher.may_retry(service):
            return Obstacle.NONE
        return Obstacle.RETRY_BUDGET

    def _obstacle_to_placement(self, progress: CallProgress) -> Obstacle:
        if progress.refusal is not None:
            return Obstacle.NOT_ALLOWED
        if self.clock() >= progress.deadline:
            return Obstacle.TIME_LIMIT
        return Obstacle.NO_ENDPOINT

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
        head_deadline = self._head_deadline(progress)
        if progress.waits_for_head and head_deadline < progress.deadline:
            progress.head_due_at, head_deadline = head_deadline, progress.deadline
        outcome = await self.dispatcher.open(
            progress.admitted,
            state,
            progress.deadline,
            head_deadline,
            progress.last_event,
        )
        progress.head_due_at = inf
        progress.sent += not isinstance(outcome, NotSent)
        if isinstance(outcome, NotSent):
            progress.may_have_run = may_have_run_before
            progress.problem = outcome.problem
        elif isinstance(outcome, ResponseLost):
            progress.problem = outcome.problem
            if outcome.broke_off:
                self.outcomes.on_broken(progress, state, outcome.problem)
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
        if not self._has_alternative(progress):
            return progress.deadline
        return now + (progress.deadline - now) * RETRYABLE_ATTEMPT_SHARE

    def _has_alternative(self, progress: CallProgress) -> bool:
        """Return whether the call could be sent to another endpoint instead."""
        service = progress.admitted.service.name
        candidates = self.dispatcher.endpoints.candidates(service)
        is_other = any(each.endpoint.name not in progress.tried for each in candidates)
        return is_other and self.dispatcher.has_retry(service)

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
                await self._finish_refusal(outcome, progress)
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

    async def _finish_refusal(
        self, outcome: ResponseStarted, progress: CallProgress
    ) -> None:
        """Read a refusal to its end, so that its connection can be reused.

        An endpoint whose refusal has no proper end has failed.
        """
        body = await read_body(outcome.answer, progress.deadline, MAX_FAILURE_BYTES)
        if body.is_error():
            is_proof = body.error.is_proof
            self.dispatcher.endpoints.on_failure(outcome.state, is_proof)

    async def _read_failure(
        self, answer: OpenAnswer, progress: CallProgress
    ) -> Response | None:
        """Return an endpoint's failure to relay, None if the caller may not see it.

        A status that promises that nothing has run would let the caller repeat a call
        that may run once at most, though its endpoint may have run it.
        """
        body = await read_body(answer, progress.deadline, MAX_FAILURE_BYTES)
        if body.is_error():
            return None
        self.outcomes.on_sound(progress)
        protocol = self.dispatcher.protocol
        may_repeat = progress.admitted.route.may_repeat
        if not may_repeat and protocol.promises_not_run(answer.status):
            return None
        return Response(answer.status, protocol.caller_headers(answer.headers), body.ok)


def _is_endpoint_missing(outcome: ResponseStarted | NotSent | ResponseLost) -> bool:
    """Return whether the endpoint was unreachable or has left its address."""
    if isinstance(outcome, ResponseStarted):
        return outcome.verdict is Verdict.WRONG_ENDPOINT
    return isinstance(outcome, NotSent)
