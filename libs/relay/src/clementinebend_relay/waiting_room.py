"""Where prompts wait until an endpoint has little to read before them.

The decisions are those of ``clementinebend_admission.waiting``; here are the waits.
"""

from asyncio import Event, timeout
from collections import defaultdict
from collections.abc import Callable
from random import random

from clementinebend_admission.waiting import (
    LONGEST_AHEAD_PART,
    StartRate,
    WaitingPrompt,
    can_start_in_time,
    expected_wait,
    next_prompt,
    on_start,
    return_after,
    waiting_prompt,
)
from clementinebend_relay.admission import Admitted
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.dispatch import Dispatcher
from clementinebend_relay.models import Reason, Rejection

LOOK_SECONDS = 0.02
"""How often a prompt that waits looks for room by itself: what other entries have
sent is heard each 0.1 s, and what this one has sent ends at any time."""

LEAST_LOOK_SECONDS = 0.004
"""Least time between looks on behalf of all that wait: a look costs some 0.1 ms, and
lets at most 250 prompts a second go, several times what an entry is sent."""


class Waiter:
    """A call that waits, and the event that lets it go."""

    def __init__(self, prompt: WaitingPrompt, admitted: Admitted) -> None:
        self.prompt = prompt
        self.admitted = admitted
        self.may_start = Event()


class WaitingRoom:
    """The prompts that wait in this entry, by service.

    At most one prompt of a service is on its way from here to its endpoint: the next
    one is judged by what lies before it once the first one is counted there.
    """

    def __init__(self, dispatcher: Dispatcher, clock: Callable[[], float]) -> None:
        self.dispatcher = dispatcher
        self.clock = clock
        self.waiters: defaultdict[str, dict[str, Waiter]] = defaultdict(dict)
        self.rates: defaultdict[str, StartRate] = defaultdict(StartRate)
        self.targets: dict[str, float] = {}
        self.looked_at: defaultdict[str, float] = defaultdict(float)

    async def enter(self, admitted: Admitted) -> Rejection | None:
        """Return once a call may be sent, or why it is turned away unsent."""
        if not admitted.call.parts:
            return None
        now = self.clock()
        service = admitted.service.name
        prompt = waiting_prompt(
            admitted.call.request_id,
            admitted.priority,
            admitted.call.prompt_tokens,
            admitted.route.latency_target,
            now,
        )
        waiters = self.waiters[service]
        if not waiters and self._has_room(admitted):
            self._start(service, prompt)
            return None
        wait = self._expected_wait(service, prompt)
        if not can_start_in_time(prompt, wait, now):
            return self._refuse(prompt, service, wait)
        return await self._wait(admitted, prompt)

    async def _wait(
        self, admitted: Admitted, prompt: WaitingPrompt
    ) -> Rejection | None:
        service = admitted.service.name
        waiters = self.waiters[service]
        waiter = waiters[prompt.request] = Waiter(prompt, admitted)
        try:
            while (now := self.clock()) < prompt.waits_until:
                self._look(service, now)
                if waiter.may_start.is_set():
                    self._start(service, prompt)
                    self._log_wait(prompt)
                    return None
                await self._pause(waiter)
        finally:
            del waiters[prompt.request]
        wait = self._expected_wait(service, prompt)
        return self._refuse(prompt, service, wait)

    def _expected_wait(self, service: str, prompt: WaitingPrompt) -> float:
        others = [waiter.prompt for waiter in self.waiters[service].values()]
        return expected_wait(prompt, others, self.rates[service], self.clock())

    def _look(self, service: str, now: float) -> None:
        """Let the first one go if there is room, unless one goes already."""
        if now - self.looked_at[service] < LEAST_LOOK_SECONDS:
            return
        self.looked_at[service] = now
        waiters = self.waiters[service]
        first = next_prompt([each.prompt for each in waiters.values()], now)
        if first is None:
            return
        waiter = waiters[first.request]
        if not waiter.may_start.is_set() and self._has_room(waiter.admitted):
            waiter.may_start.set()

    async def _pause(self, waiter: Waiter) -> None:
        try:
            async with timeout(LOOK_SECONDS):
                await waiter.may_start.wait()
        except TimeoutError:
            return

    def _has_room(self, admitted: Admitted) -> bool:
        """Tell whether little enough lies before a prompt at its best endpoint."""
        service = admitted.service.name
        target = admitted.route.latency_target
        target = self.targets[service] = min(target, self.targets.get(service, target))
        ahead = self.dispatcher.seconds_ahead(admitted)
        return ahead is None or ahead <= LONGEST_AHEAD_PART * target

    def _start(self, service: str, prompt: WaitingPrompt) -> None:
        now = self.clock()
        self.rates[service] = on_start(self.rates[service], prompt.tokens, now)

    def _log_wait(self, prompt: WaitingPrompt) -> None:
        now = self.clock()
        log_decision(
            "prompt waited",
            request_id=prompt.request,
            waited_s=round(now - prompt.arrived, 4),
            is_late=now > prompt.on_time_until,
        )

    def _refuse(self, prompt: WaitingPrompt, service: str, wait: float) -> Rejection:
        log_decision(
            "prompt turned away",
            request_id=prompt.request,
            waiting=len(self.waiters[service]),
            expected_wait_s=round(wait, 3),
            tokens_per_s=round(self.rates[service].tokens),
        )
        message = "more prompts wait than can start before their callers leave"
        return Rejection(Reason.OVERLOADED, message, return_after(wait, random()))
