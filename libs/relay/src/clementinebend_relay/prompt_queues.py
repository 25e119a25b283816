"""Queues in which prompts wait until an endpoint can read them soon.

The scheduling decisions are made in ``clementinebend_admission`` (``waiting``,
``turn_order`` and ``load_rates``); this module does the waiting.
"""

from asyncio import Event, timeout
from collections.abc import Callable
from contextlib import suppress
from random import random

from clementinebend_admission.load_rates import (
    StartOutlook,
    can_start,
    latest_start,
    may_wait,
    outlook_wait,
)
from clementinebend_admission.waiting import (
    WaitingPrompt,
    max_ahead_seconds,
    new_waiting_prompt,
)
from clementinebend_relay.admission import Admitted
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.dispatch import Dispatcher
from clementinebend_relay.messages import PromptTurn
from clementinebend_relay.metrics import (
    preceded_checks,
    prompt_rejections,
    service_overloaded,
    waiting_prompts,
)
from clementinebend_relay.models import Reason, Rejection
from clementinebend_relay.service_queue import ServiceQueue
from clementinebend_relay.survey import Survey

ROOM_CHECK_SECONDS = 0.03
"""Interval in seconds at which the first waiting prompt checks for room.

An endpoint reads about 1,500 tokens in that time, and a check costs eight datagrams.
"""

OVERLOADED_CHECK_SECONDS = 0.1
"""The same interval while this entry is overloaded: checks add to its load."""


class PromptQueues:
    """The prompts waiting in this entry, by service.

    Only the first prompt of a service checks for room; once it has left the queue, the
    next one does. ``pace_rate`` returns the prompt tokens per second that this entry
    can start of a service by its endpoints' pace, None if unknown.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Callable[[], float],
        pace_rate: Callable[[str], float | None] = lambda service: None,
    ) -> None:
        self.dispatcher = dispatcher
        self.clock = clock
        self.pace_rate = pace_rate
        self.queues: dict[str, ServiceQueue] = {}
        self.min_latency_targets: dict[str, float] = {}
        self.waiter_left = Event()
        self.is_overloaded: Callable[[], bool] = lambda: False

    async def enter(self, admitted: Admitted) -> Survey | Rejection | None:
        """Wait until a call may be sent; return its survey, or why it is rejected.

        Returns None at once for a call without a prompt, as it never waits.
        """
        if not admitted.call.parts:
            return None
        now = self.clock()
        queue = self.queue(admitted.service.name)
        prompt = new_waiting_prompt(
            admitted.call.request_id,
            admitted.priority,
            admitted.call.prompt_tokens,
            admitted.route.latency_target,
            now,
            admitted.team.name,
        )
        prompt = queue.on_arrived(prompt, _return_key(admitted), now)
        self._log_overload_change(admitted.service.name, queue, now)
        if not queue.waiters:
            outcome = await self._try_start(admitted, queue, prompt)
            if outcome is not None:
                return outcome
        outlook = queue.outlook(prompt, self.clock())
        if not can_start(prompt, outlook, self.clock()):
            return self._reject(admitted, queue, prompt, outlook, is_at_arrival=True)
        return await self._wait(admitted, queue, prompt)

    def queue(self, service: str) -> ServiceQueue:
        """Return the queue of a service, a new one for its first prompt."""
        if service not in self.queues:
            self.queues[service] = ServiceQueue(lambda: self.pace_rate(service))
        return self.queues[service]

    async def _try_start(
        self, admitted: Admitted, queue: ServiceQueue, prompt: WaitingPrompt
    ) -> Survey | Rejection | None:
        """Return the survey by which a prompt starts now, None if it must wait."""
        is_on_time = self.clock() <= prompt.on_time_deadline
        is_waiting = prompt.request in queue.waiters
        turn = PromptTurn(prompt.team, is_on_time, is_waiting)
        survey = await self.dispatcher.survey(admitted._replace(turn=turn), ())
        if survey.limit_wait is not None:
            return self._reject_limited(admitted, survey.limit_wait)
        if not self._has_room(admitted, survey):
            if survey.is_preceded:
                queue.on_preceded(prompt)
                preceded_checks.labels(admitted.service.name).inc()
            return None
        queue.on_started(prompt, survey.seconds_ahead == 0.0, self.clock())
        return survey

    async def _wait(
        self, admitted: Admitted, queue: ServiceQueue, prompt: WaitingPrompt
    ) -> Survey | Rejection:
        """Return the survey by which a prompt starts after a wait, or its rejection."""
        queue.add(prompt)
        waiting = waiting_prompts.labels(admitted.service.name)
        waiting.inc()
        try:
            while True:
                now = self.clock()
                outlook = queue.outlook(prompt, now)
                if not may_wait(prompt, outlook, now):
                    break
                if queue.first(now) == prompt:
                    outcome = await self._try_start(admitted, queue, prompt)
                    if isinstance(outcome, Survey):
                        self._log_wait(queue, prompt)
                    if outcome is not None:
                        return outcome
                await self._wait_for_check(latest_start(prompt, outlook) - now)
        finally:
            preceded = queue.remove(prompt)
            waiting.dec()
            self.waiter_left.set()
            self.waiter_left.clear()
        return self._reject(
            admitted, queue, prompt, outlook, is_at_arrival=False, preceded=preceded
        )

    async def _wait_for_check(self, longest: float) -> None:
        """Wait for the next check, or until a waiting prompt has left its queue.

        ``longest`` is the longest wait in seconds.
        """
        is_overloaded = self.is_overloaded()
        seconds = OVERLOADED_CHECK_SECONDS if is_overloaded else ROOM_CHECK_SECONDS
        with suppress(TimeoutError):
            async with timeout(min(seconds, max(0.0, longest))):
                await self.waiter_left.wait()

    def _has_room(self, admitted: Admitted, survey: Survey) -> bool:
        """Return whether little enough is ahead of a prompt at its best endpoint."""
        if survey.is_rate_limited:
            return False
        service = admitted.service.name
        target = admitted.route.latency_target
        target = self.min_latency_targets[service] = min(
            target, self.min_latency_targets.get(service, target)
        )
        ahead = survey.seconds_ahead
        return ahead is None or ahead <= max_ahead_seconds(target, survey.is_preceded)

    def _log_overload_change(
        self, service: str, queue: ServiceQueue, now: float
    ) -> None:
        """Log when overload of a service begins, and at the first prompt after it.

        It begins ``OVERLOAD_SECONDS`` after the last end at the earliest, which bounds
        the number of these lines.
        """
        is_overloaded = queue.overload_change(now)
        if is_overloaded is None:
            return
        service_overloaded.labels(service).set(is_overloaded)
        log_decision(
            "prompts exceed capacity" if is_overloaded else "prompts start in time",
            service=service,
            waiting=len(queue.waiters),
            tokens_per_s=round(queue.rates.start_rate(now) or 0.0),
            pace_tokens_per_s=None if queue.floor is None else round(queue.floor),
            arriving_per_s=round(queue.rates.demand_rate(now)),
        )

    def _log_wait(self, queue: ServiceQueue, prompt: WaitingPrompt) -> None:
        now = self.clock()
        log_decision(
            "prompt waited",
            request_id=prompt.request,
            waited_s=round(now - prompt.arrived, 4),
            is_late=now > prompt.on_time_deadline,
            preceded=queue.preceded.get(prompt.request, 0),
        )

    def _reject_limited(self, admitted: Admitted, wait: float) -> Rejection:
        return self.dispatcher.limited_rejections.reject(admitted, wait)

    def _reject(
        self,
        admitted: Admitted,
        queue: ServiceQueue,
        prompt: WaitingPrompt,
        outlook: StartOutlook,
        is_at_arrival: bool,
        preceded: int = 0,
    ) -> Rejection:
        now = self.clock()
        wait = outlook_wait(outlook)
        key = _return_key(admitted)
        delay = queue.on_rejected(prompt, key, wait, random(), now)
        service = admitted.service.name
        prompt_rejections.labels(service, "arrival" if is_at_arrival else "wait").inc()
        self._log_overload_change(service, queue, now)
        log_decision(
            "prompt turned away",
            request_id=prompt.request,
            priority=prompt.priority,
            team=prompt.team,
            waiting=len(queue.waiters),
            before=round(outlook.before),
            expected_wait_s=round(wait, 3),
            tokens_per_s=round(outlook.starts),
            arriving_per_s=round(queue.rates.demand_rate(now)),
            urgent_per_s=round(outlook.urgent),
            is_overloaded=outlook.is_overloaded,
            is_at_arrival=is_at_arrival,
            waited_s=round(now - prompt.arrived, 4),
            preceded=preceded,
            retry_after_s=round(delay, 3),
        )
        message = "more prompts wait than can start before their callers leave"
        return Rejection(Reason.OVERLOADED, message, delay)


def _return_key(admitted: Admitted) -> int:
    """Return what is the same for all repetitions of a prompt."""
    return hash((admitted.fingerprint, admitted.call.parts))
