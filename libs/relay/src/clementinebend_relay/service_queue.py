"""The prompts of one service that wait at this entry, and what is known of their turns.

No I/O: ``clementinebend_relay.prompt_queues`` does the waiting.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable
from itertools import accumulate
from math import inf

from clementinebend_admission.load_rates import LoadRates, StartOutlook
from clementinebend_admission.return_schedule import ReturnSchedule
from clementinebend_admission.returning_callers import ReturningCallers
from clementinebend_admission.turn_order import ServedTokens, Turn, TurnKey, order_key
from clementinebend_admission.waiting import (
    WaitingPrompt,
    as_turn,
    deadline_key,
    in_order,
    retry_after_seconds,
)

ORDER_VALID_SECONDS = 0.01
"""How long an order of the waiting prompts is reused, unless one is added or leaves."""

FLOOR_VALID_SECONDS = 0.5
"""How long the rate by the endpoints' pace is reused: it changes slowly, and
reading it takes a pass over all endpoints."""

MAX_SCHEDULES = 256
"""Maximum number of teams whose rejected callers' times of return are kept."""


class ServiceQueue:
    """The waiting prompts of one service, in the order in which they are to start.

    Teams and the least share of a priority count under overload only; otherwise the
    order is by priority and deadline.

    ``read_floor`` returns the prompt tokens per second that this entry can start by the
    endpoints' pace, None if unknown.
    """

    def __init__(self, read_floor: Callable[[], float | None]) -> None:
        self.read_floor = read_floor
        self.floor: float | None = None
        self.floor_at = -inf
        self.waiters: dict[str, WaitingPrompt] = {}
        self.preceded: Counter[str] = Counter()
        self.rates = LoadRates()
        self.served = ServedTokens()
        self.returning = ReturningCallers()
        self.returns: OrderedDict[str, ReturnSchedule] = OrderedDict()
        self.was_overloaded = False
        self.order: list[WaitingPrompt] = []
        self.before: dict[str, int] = {}
        self.ordered_at = -inf

    def on_arrived(self, prompt: WaitingPrompt, key: int, now: float) -> WaitingPrompt:
        """Count a prompt that arrives; return it with its place among its team's.

        ``key`` is the same for all repetitions of a request. A caller that returns as
        told has the place of its first try among its team's prompts.
        """
        self.rates.on_arrived(prompt, now)
        is_overloaded = self.rates.is_overloaded(now)
        if is_overloaded:
            self.served.on_active(prompt.team, now)
        since = self.returning.on_arrived(key, now)
        if since is None or not is_overloaded:
            return prompt
        return prompt._replace(since=since)

    def add(self, prompt: WaitingPrompt) -> None:
        """Let a prompt wait."""
        self.waiters[prompt.request] = prompt
        self.ordered_at = -inf

    def remove(self, prompt: WaitingPrompt) -> int:
        """Remove a prompt that starts, is rejected or whose caller has left.

        Return at how many checks it did not start as another one had precedence.
        """
        del self.waiters[prompt.request]
        self.ordered_at = -inf
        return self.preceded.pop(prompt.request, 0)

    def on_preceded(self, prompt: WaitingPrompt) -> None:
        """Count a check at which a waiting prompt was preceded by another one."""
        if prompt.request in self.waiters:
            self.preceded[prompt.request] += 1

    def on_started(
        self, prompt: WaitingPrompt, is_endpoint_idle: bool, now: float
    ) -> None:
        """Count a prompt that starts, and charge it to its team.

        ``is_endpoint_idle`` tells whether nothing is ahead of it at its endpoint.
        """
        is_alone = not self.waiters.keys() - {prompt.request}
        self.rates.on_started(prompt, is_endpoint_idle and is_alone, now)
        self.served.on_served(prompt.team, prompt.priority, prompt.tokens, now)

    def overload_change(self, now: float) -> bool | None:
        """Return the new state if overload has begun or ended since the last call.

        None is returned if nothing has changed.
        """
        is_overloaded = self.rates.is_overloaded(now)
        if is_overloaded == self.was_overloaded:
            return None
        self.was_overloaded = is_overloaded
        return is_overloaded

    def first(self, now: float) -> WaitingPrompt | None:
        """Return the prompt to start next."""
        self._sort(now)
        return self.order[0] if self.order else None

    def outlook(self, prompt: WaitingPrompt, now: float) -> StartOutlook:
        """Return what a prompt can expect, whether it waits already or not."""
        self._sort(now)
        before = self.before.get(prompt.request)
        if before is None:
            key = self._key(prompt, now)
            turn = key(as_turn(prompt, now))
            before = sum(
                other.tokens for other in self.order if key(as_turn(other, now)) < turn
            )
        if now - self.floor_at >= FLOOR_VALID_SECONDS:
            self.floor, self.floor_at = self.read_floor(), now
        return self.rates.outlook(prompt, before, self.floor, now)

    def on_rejected(
        self, prompt: WaitingPrompt, key: int, wait: float, draw: float, now: float
    ) -> float:
        """Count a rejected prompt; return after how many seconds it is to return.

        Under overload, callers of a team return at the rate at which its prompts start
        here, in the order in which they were rejected. ``draw`` is a random number from
        0 to 1.
        """
        self.rates.on_rejected(now)
        rate = self.rates.team_rate(prompt.team, now)
        if not rate or not self.rates.is_overloaded(now):
            return retry_after_seconds(wait, draw)
        schedule = self.returns.setdefault(prompt.team, ReturnSchedule())
        self.returns.move_to_end(prompt.team)
        if len(self.returns) > MAX_SCHEDULES:
            self.returns.popitem(last=False)
        last_at = schedule.last_at
        delay = schedule.next_delay(rate, now, draw)
        if schedule.last_at > last_at:
            self.returning.on_rejected(key, prompt.since, now + delay)
        return delay

    def _key(self, prompt: WaitingPrompt, now: float) -> Callable[[Turn], TurnKey]:
        """Return the sort key of the waiting prompts and ``prompt``."""
        if not self.rates.is_overloaded(now):
            return deadline_key
        prompts = [*self.waiters.values(), prompt]
        teams = {each.team for each in prompts}
        levels = {team: self.served.level(team, now) for team in teams}
        priorities = {each.priority for each in prompts}
        return order_key(self.served, priorities, levels.__getitem__, now)

    def _sort(self, now: float) -> None:
        """Bring the order up to date."""
        if now - self.ordered_at < ORDER_VALID_SECONDS:
            return
        self.ordered_at = now
        prompts = list(self.waiters.values())
        self.order = (
            in_order(prompts, self._key(prompts[0], now), now) if prompts else []
        )
        tokens = (prompt.tokens for prompt in self.order)
        before = accumulate(tokens, initial=0)
        self.before = {
            prompt.request: sum_before
            for prompt, sum_before in zip(self.order, before, strict=False)
        }
