"""Handles a call: admission, budget reservation, dispatch, relay and settlement."""

from asyncio import Event, timeout
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

from clementinebend_relay.admission import Admitted, admit
from clementinebend_relay.budgets import Budgets, Reservation
from clementinebend_relay.configuration import ConfigurationTable
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.dispatch import Dispatcher
from clementinebend_relay.interfaces import HttpProtocol
from clementinebend_relay.load_monitor import LoadMonitor
from clementinebend_relay.metrics import (
    first_byte_seconds,
    rejected_calls,
    relayed_answers,
    whole_seconds,
)
from clementinebend_relay.models import Call, Reason, Rejection, RouteKind
from clementinebend_relay.plain import PlainRelay
from clementinebend_relay.plain_choice import PlainChoice
from clementinebend_relay.planned_stop import PlannedStop
from clementinebend_relay.progress import CallProgress
from clementinebend_relay.prompt_parts import logged_names
from clementinebend_relay.prompt_queues import PromptQueues
from clementinebend_relay.quota_view import Shortfall
from clementinebend_relay.resumptions import Resumptions
from clementinebend_relay.streams import StreamRelay
from clementinebend_transport.body_room import BodyRoom, request_bodies
from clementinebend_transport.http_types import Request, Response
from clementinebend_transport.late_waits import result_within

BUDGET_BUSY_RETRY_AFTER = 0.5
"""Retry-after delay in seconds when no budget can be reserved."""

LOG_OUTAGE_RETRY_AFTER = 2.0
"""Retry-after delay in seconds while the log is unreachable.

Outages last 3 to 5 s, and a caller that retries during one is refused again.
"""

BODY_RETRY_AFTER = 1.0
"""Retry-after delay in seconds when there is no memory for a body: some calls end."""

STARTUP_WAIT = 0.3
"""Seconds that a call waits for the configuration and endpoints to be loaded.

An entry loads them about 0.1 s after it starts to accept calls, if the store responds.
"""


class PreparedCall(NamedTuple):
    """A call that may be sent to endpoints, and the budget reserved for it."""

    progress: CallProgress
    reservation: Reservation


class CallHandler:
    """Handles requests from callers."""

    def __init__(
        self,
        protocol: HttpProtocol,
        configuration: ConfigurationTable,
        budgets: Budgets,
        dispatcher: Dispatcher,
        plain: PlainRelay,
        streams: StreamRelay,
        resumptions: Resumptions,
        prompt_queue: PromptQueues,
        is_loaded: Event,
        load: LoadMonitor,
        planned_stop: PlannedStop,
        clock: Callable[[], float],
    ) -> None:
        self.protocol = protocol
        self.configuration = configuration
        self.budgets = budgets
        self.dispatcher = dispatcher
        self.quarantine = dispatcher.quarantine
        self.plain = plain
        self.streams = streams
        self.resumptions = resumptions
        self.prompt_queue = prompt_queue
        self.is_loaded = is_loaded
        self.load = load
        self.planned_stop = planned_stop
        self.clock = clock
        self.bodies = request_bodies(BodyRoom(), self.reject_body)

    async def handle(self, request: Request) -> Response:
        """Return the response to one request from a caller."""
        arrived_at = self.clock()
        call = self.protocol.read_call(request)
        if isinstance(call, Rejection):
            return self._reject(call, "", arrived_at)
        await self._wait_for_startup()
        prepared = await self._prepare(call, arrived_at)
        if isinstance(prepared, Rejection):
            return self._reject(prepared, call.request_id, arrived_at)
        return await self._run(*prepared, arrived_at)

    def reject_body(self, request: Request) -> Response:
        """Return the response to a request for whose body there is no memory."""
        arrived_at = self.clock()
        call = self.protocol.read_call(request)
        if isinstance(call, Rejection):
            return self._reject(call, "", arrived_at)
        message = "there is no memory for the request's body"
        rejection = Rejection(Reason.BODY_MEMORY, message, BODY_RETRY_AFTER)
        return self._reject(rejection, call.request_id, arrived_at)

    async def _prepare(self, call: Call, arrived_at: float) -> PreparedCall | Rejection:
        """Return a call that may be sent, with its budget reserved."""
        admitted = await self._admit(call)
        if isinstance(admitted, Rejection):
            return admitted
        survey = await self.prompt_queue.enter(admitted)
        if isinstance(survey, Rejection):
            return survey
        reservation = await self._reserve(admitted)
        if isinstance(reservation, Rejection):
            return reservation
        deadline = arrived_at + admitted.time_limit
        return PreparedCall(CallProgress(admitted, deadline, survey), reservation)

    async def _admit(self, call: Call) -> Admitted | Rejection:
        """Return a call with its route, team and, if it resumes a stream, origin."""
        admitted = admit(call, self.configuration.current)
        if isinstance(admitted, Rejection):
            return admitted
        rejection = (
            self.planned_stop.rejection(admitted)
            or self.load.rejection(admitted)
            or self.quarantine.refusal(admitted.fingerprint, admitted.part_subjects)
        )
        if rejection is not None:
            return rejection
        return await self.resumptions.admit(admitted)

    async def _wait_for_startup(self) -> None:
        """Wait up to ``STARTUP_WAIT`` for the configuration and endpoints to load."""
        if self.is_loaded.is_set():
            return
        with suppress(TimeoutError):
            async with timeout(STARTUP_WAIT):
                await self.is_loaded.wait()

    async def _reserve(self, admitted: Admitted) -> Reservation | Rejection:
        team, max_cost = admitted.team, admitted.call.max_total_tokens
        max_wait = admitted.time_limit / 2
        wait = min(self.budgets.wait_seconds(), max_wait)
        outcome = await self.budgets.reserve(team, max_cost, wait, max_wait)
        if isinstance(outcome, Reservation):
            return outcome
        return self._budget_rejection(outcome, admitted)

    def _budget_rejection(self, shortage: Shortfall, admitted: Admitted) -> Rejection:
        log_decision(
            "budget refused",
            request_id=admitted.call.request_id,
            team=admitted.team.name,
            amount=admitted.call.max_total_tokens,
            left=shortage.left,
            uncertain=shortage.uncertain,
            age_s=None if shortage.age is None else round(shortage.age, 3),
            is_spent=shortage.is_spent,
        )
        if shortage.is_spent:
            return Rejection(Reason.BUDGET_SPENT, "the prepaid budget is spent")
        message = "no part of the budget is at hand"
        pause = (
            LOG_OUTAGE_RETRY_AFTER
            if self.budgets.is_log_unavailable()
            else BUDGET_BUSY_RETRY_AFTER
        )
        return Rejection(Reason.BUDGET_BUSY, message, pause)

    async def _run(
        self, progress: CallProgress, reservation: Reservation, arrived_at: float
    ) -> Response:
        admitted = progress.admitted
        self.dispatcher.on_request(admitted.service.name, arrived_at)
        is_stream = False

        def settle() -> None:
            self._settle(progress, reservation, arrived_at)

        try:
            response = await self._answer(progress, settle)
            is_stream = response is not None and not isinstance(response.body, bytes)
        finally:
            if not is_stream:
                settle()
        if response is None:
            rejection = progress.rejection(self.clock())
            return self._reject(rejection, admitted.call.request_id, arrived_at)
        first_byte_seconds.labels(admitted.service.name).observe(
            self.clock() - arrived_at
        )
        relayed_answers.labels(admitted.service.name, response.status).inc()
        return response

    async def _answer(
        self, progress: CallProgress, settle: Callable[[], None]
    ) -> Response | None:
        if progress.admitted.route.kind is RouteKind.STREAM:
            answering = self.streams.answer(progress, settle)
        else:
            answering = self.plain.answer(progress)
        seconds = progress.deadline - self.clock()
        try:
            return await result_within(answering, seconds)
        except TimeoutError:
            progress.problem = "the time limit has passed"
            return None

    def _settle(
        self, progress: CallProgress, reservation: Reservation, arrived_at: float
    ) -> None:
        usage = progress.usage()
        self.budgets.settle(reservation, usage.tokens)
        admitted = progress.admitted
        elapsed = self.clock() - arrived_at
        if progress.is_whole:
            self.planned_stop.on_whole(admitted.route.name, elapsed)
        whole_seconds.labels(admitted.service.name).observe(elapsed)
        log_decision(
            "call ended",
            request_id=admitted.call.request_id,
            fingerprint=admitted.fingerprint,
            parts=logged_names(admitted.shared_parts),
            route=admitted.route.name,
            team=admitted.team.name,
            version=admitted.version,
            endpoints=progress.tried,
            software_versions=progress.software_versions,
            resumes=admitted.call.resumes,
            attempts=usage.attempts,
            events=progress.events,
            tokens=usage.tokens,
            reserved=reservation.amount,
            is_whole=progress.is_whole,
            ahead=round(progress.ahead),
            unread=progress.unread,
            reports=progress.reports,
            passed_over=progress.passed_over,
            **_choice_fields(progress.plain_choice),
            first_event_s=_seconds_between(arrived_at, progress.first_event_at),
            elapsed_s=round(elapsed, 4),
        )

    def _reject(
        self, rejection: Rejection, request_id: str, arrived_at: float
    ) -> Response:
        rejected_calls.labels(rejection.reason).inc()
        log_decision(
            "call rejected",
            request_id=request_id,
            reason=rejection.reason,
            message_text=rejection.message,
            retry_after_s=rejection.retry_after,
            elapsed_s=round(self.clock() - arrived_at, 4),
        )
        response = self.protocol.rejection_response(rejection, request_id)
        return response._replace(is_last=rejection.is_last)


def _choice_fields(choice: PlainChoice | None) -> dict[str, float | None]:
    """Return the log fields of what a plain call's last choice was based on."""
    if choice is None:
        return {}
    seconds = {
        "expected_s": choice.expected,
        "usual_s": choice.usual,
        "service_age_s": choice.age,
    }
    rounded = {
        name: None if value is None else round(value, 4)
        for name, value in seconds.items()
    }
    return {**rounded, "running": choice.running}


def _seconds_between(start: float, end: float | None) -> float | None:
    return None if end is None else round(end - start, 4)
