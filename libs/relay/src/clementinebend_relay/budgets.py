"""Budgets in this entry's hands: reservation and settlement of calls."""

from asyncio import Timeout, gather, get_running_loop, timeout
from collections import defaultdict
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import NamedTuple
from zlib import crc32

from clementinebend_ledger.quota_requests import (
    TokenRequest,
    token_request,
    transferable_amount,
)
from clementinebend_ledger.quota_sizing import borrow_target, unwitnessed_target
from clementinebend_platform_client.keyed_log import KeyedLog
from clementinebend_relay.budget_peers import BudgetPeers, NoPeers
from clementinebend_relay.messages import RemainingBudget
from clementinebend_relay.models import Configuration, Team
from clementinebend_relay.quota_manager import QuotaManager
from clementinebend_relay.quota_view import FRESH_SECONDS, QuotaView, Shortfall
from clementinebend_relay.request_pacing import HOME_REQUEST_INTERVAL, RequestPacing
from clementinebend_relay.witnesses import Witnesses

FALLBACK_SECONDS = HOME_REQUEST_INTERVAL
"""Seconds that a waiting call leaves to the home or the store, which answer in
some 5 and 10 ms, before it turns to the reserve and to the other entries."""

BUDGET_WAIT = 0.25
"""Seconds that a call waits for its budget while the store answers. A new configuration
that all entries read at once holds up a home's append for some 0.1 s; a caller that is
told to come back after 0.5 s is late in any case."""

STORE_ANSWERS_AWAITED = 2.5
"""The same in answers of a slow store: one that is on its way, and the next."""

MAX_BUDGET_WAIT = 0.8
"""Longest time in seconds that a call waits for its budget: two answers of a slow
store. A refused caller would take about as long until it is back."""

ANSWER_TIME_REPORT_SECONDS = 2.0
"""Seconds for which a store answer time reported by a home remains valid."""

LOW_FRACTION = 0.5
"""Part of what a home may spend at once below which it raises its mark: what is left
lasts for the append."""

REMAINING_VALID_SECONDS = 0.25
"""How long a home's word that a budget has too little left turns calls away at once;
then it is asked again, as callers may have returned what they did not use."""

REMAINING_CACHE_SECONDS = 0.02
"""How long what is left of a budget is remembered: a home on a small host may be asked
for the same budget a hundred times a second."""

RETURN_FACTOR = 3
"""Times what an entry keeps at hand from which on it gives the rest back. What many
entries keep of ended calls is lacking elsewhere: calls are refused with budget left."""

PARTITION_SEPARATOR = "@"
"""Between an entry's boot and its partition in a holder's name."""


class RemainingReport(NamedTuple):
    """What the home of a budget said was left of it, and when."""

    at: float
    remaining: RemainingBudget


class AnswerTimeReport(NamedTuple):
    """A store answer time reported by a home, and when the report arrived."""

    answer_seconds: float
    at: float


class Reservation(NamedTuple):
    """Tokens set aside for one call."""

    team: str
    amount: int


def holder_name(boot: str, part: int) -> str:
    """Return the name under which a boot of an entry holds marks in a partition."""
    return f"{boot}{PARTITION_SEPARATOR}{part}"


def boot_of(holder: str) -> str:
    """Return the boot that a holder's name tells."""
    return holder.rpartition(PARTITION_SEPARATOR)[0]


class Budgets:
    """All budgets of this entry, by team.

    ``is_succeeded`` tells of a boot whether the same entry has a later one.
    """

    def __init__(
        self,
        boot: str,
        logs: tuple[KeyedLog, ...],
        witnesses: Witnesses,
        is_succeeded: Callable[[str], bool],
        clock: Callable[[], float],
    ) -> None:
        self.clock = clock
        self.is_succeeded = is_succeeded
        self.budget_peers: BudgetPeers = NoPeers()
        self.is_store_lost: Callable[[], bool] = lambda: False
        self.request_pacing: dict[str, RequestPacing] = defaultdict(RequestPacing)
        self.reported: dict[str, RemainingReport] = {}
        self.answer_time_report = AnswerTimeReport(0.0, clock())
        self.remaining_cache: dict[str, RemainingReport] = {}
        self.managers = tuple(
            QuotaManager(self._view(holder_name(boot, part), part, witnesses), log)
            for part, log in enumerate(logs)
        )

    def attach(self, budget_peers: BudgetPeers) -> None:
        """Take the other entries, which hear when there is more to hand over."""
        self.budget_peers = budget_peers
        for part, manager in enumerate(self.managers):
            manager.on_change = partial(budget_peers.serve_unmet, part)

    def configure(self, configuration: Configuration) -> None:
        """Take the budgets of a configuration."""
        self.reported.clear()
        self.remaining_cache.clear()
        for manager in self.managers:
            manager.configure(
                {
                    team.name: team.prepaid
                    for team in configuration.teams.values()
                    if team.prepaid is not None and self.manager(team.name) is manager
                }
            )

    def manager(self, team: str) -> QuotaManager:
        """Return who keeps the marks of a team; all entries find the same."""
        return self.managers[self.part(team)]

    def part(self, team: str) -> int:
        """Return the partition that holds the marks of a team."""
        return crc32(team.encode()) % len(self.managers)

    def _is_home(self, part: int) -> bool:
        return self.budget_peers.home_of(part) is None

    def _view(self, holder: str, part: int, witnesses: Witnesses) -> QuotaView:
        return QuotaView(
            holder,
            witnesses,
            lambda other: self.is_succeeded(boot_of(other)),
            lambda other: self.budget_peers.is_heard(boot_of(other)),
            partial(self._is_home, part),
            self.clock,
        )

    def wait_seconds(self) -> float:
        """Return how many seconds a call should wait for its budget."""
        answering = (
            manager for manager in self.managers if not manager.is_unavailable()
        )
        slowest = max((manager.answer_seconds for manager in answering), default=0.0)
        slowest = max(slowest, self._home_answer_seconds())
        return min(MAX_BUDGET_WAIT, max(BUDGET_WAIT, STORE_ANSWERS_AWAITED * slowest))

    def answer_seconds(self, team: str) -> float:
        """Return how long the store takes to answer calls for a team's marks."""
        return self.manager(team).answer_seconds

    def on_home_answer_seconds(self, seconds: float) -> None:
        """Record a home's store answer time, unless a longer one is still valid."""
        seconds = min(MAX_BUDGET_WAIT, seconds)
        if seconds >= self._home_answer_seconds():
            self.answer_time_report = AnswerTimeReport(seconds, self.clock())

    def _home_answer_seconds(self) -> float:
        report = self.answer_time_report
        is_recent = self.clock() - report.at < ANSWER_TIME_REPORT_SECONDS
        return report.answer_seconds if is_recent else 0.0

    def is_log_unavailable(self) -> bool:
        """Tell whether some part of the log is out of reach at the moment.

        An entry that is no home calls it seldom, and goes by what it reads elsewhere
        in the store.
        """
        return self.is_store_lost() or any(
            manager.is_unavailable() for manager in self.managers
        )

    async def reserve(
        self, team: Team, amount: int, wait: float, longest_wait: float = 0.0
    ) -> Reservation | Shortfall:
        """Set ``amount`` aside, waiting up to ``wait`` seconds for it.

        The wait is extended, up to ``longest_wait`` seconds in all, if the home reports
        a slow store in the meantime.
        """
        if team.prepaid is None or amount == 0:
            return Reservation(team.name, 0)
        manager = self.manager(team.name)
        account = manager.account(team.name)
        account.record_demand(amount, self.clock())
        if account.reserve(amount):
            self._borrow(team.name)
            self._raise_before_empty(manager, team.name)
            return Reservation(team.name, amount)
        if (shortfall := self._final_shortfall(manager, team.name, amount)) is not None:
            return shortfall
        account.waiting += amount
        is_set_aside = False
        try:
            with suppress(TimeoutError):  # the caller logs why it is refused
                async with timeout(wait) as wait_timeout:
                    latest_deadline = get_running_loop().time() + longest_wait
                    is_set_aside = await self._wait_until_reserved(
                        manager, team.name, amount, wait_timeout, latest_deadline
                    )
        finally:
            account.waiting -= amount
        if is_set_aside:
            return Reservation(team.name, amount)
        self._return_surplus(manager, team.name)
        return self._shortfall(manager, team.name, amount)

    def _final_shortfall(
        self, manager: QuotaManager, team: str, amount: int
    ) -> Shortfall | None:
        """Return why no wait would help, none if one might."""
        shortfall = self._shortfall(manager, team, amount)
        if shortfall.left is None or shortfall.left >= amount or shortfall.age is None:
            return None
        is_home = self.is_home_of(team)
        is_fresh = (
            manager.is_fresh() if is_home else shortfall.age < REMAINING_VALID_SECONDS
        )
        return shortfall if is_fresh else None

    def _shortfall(self, manager: QuotaManager, team: str, amount: int) -> Shortfall:
        """Return why ``amount`` cannot be set aside, by what the home said last."""
        reported = self.reported.get(team)
        if reported is None or self.is_home_of(team):
            return manager.shortfall(team, amount)
        age = self.clock() - reported.at
        left, uncertain = reported.remaining
        left += max(0, manager.account(team).free)
        is_spent = age < FRESH_SECONDS and left + uncertain < amount
        return Shortfall(is_spent, left, uncertain, age)

    def _borrow(self, team: str) -> None:
        """Ask the home for more before what is borrowed runs out."""
        home = self.budget_peers.home_of(self.part(team))
        if home is None:
            return
        now = self.clock()
        account = self.manager(team).account(team)
        usual = borrow_target(account, now)
        is_low = account.free < usual // 2
        if is_low and self.request_pacing[team].may_ask_home(now):
            self.budget_peers.ask(home, team, TokenRequest(usual))

    async def _wait_until_reserved(
        self,
        manager: QuotaManager,
        team: str,
        amount: int,
        wait_timeout: Timeout,
        latest_deadline: float,
    ) -> bool:
        """Return true once ``amount`` is set aside: by the home, the store, or others.

        The first turn is the home's, or the store's where this is the home. False as
        soon as the home says that too little is left. ``wait_timeout`` is extended, to
        ``latest_deadline`` at most, when ``wait_seconds`` grows during the wait.
        """
        started_at = get_running_loop().time()
        self._request_first(manager, team)
        while not await self._reserve_briefly(manager, team, amount):
            if self._final_shortfall(manager, team, amount) is not None:
                return False
            deadline = min(latest_deadline, started_at + self.wait_seconds())
            if deadline > (wait_timeout.when() or 0.0):
                wait_timeout.reschedule(deadline)
            self._request_again(manager, team, amount)
        return True

    def _request_first(self, manager: QuotaManager, team: str) -> None:
        home = self.budget_peers.home_of(self.part(team))
        if home is not None:
            self._ask_home(home, team)
        elif manager.is_stalled():
            manager.open_reserve()
        else:
            manager.request_commit()

    def _request_again(self, manager: QuotaManager, team: str, amount: int) -> None:
        """Ask the home again; if it is silent, the store and some others."""
        home = self.budget_peers.home_of(self.part(team))
        now = self.clock()
        request_pacing = self.request_pacing[team]
        is_alone = home is None or request_pacing.is_home_gone(now)
        if is_alone:
            manager.request_commit()
            if manager.is_stalled() or home is not None:
                manager.open_reserve()
        if home is not None:
            self._ask_home(home, team)
        if is_alone and request_pacing.may_ask_all(now):
            asked = token_request(manager.account(team), amount, now)
            self.budget_peers.ask_others(team, asked)

    def _ask_home(self, home: str, team: str) -> None:
        """Ask for what all calls that wait need."""
        now = self.clock()
        account = self.manager(team).account(team)
        if self.request_pacing[team].may_ask_home(now):
            needed = account.waiting + borrow_target(account, now)
            self.budget_peers.ask(home, team, TokenRequest(needed))

    async def _reserve_briefly(
        self, manager: QuotaManager, team: str, amount: int
    ) -> bool:
        """Wait a moment for ``amount``; return whether it is set aside."""
        account = manager.account(team)
        with suppress(TimeoutError):
            async with timeout(FALLBACK_SECONDS):
                while not account.reserve(amount):
                    if self._final_shortfall(manager, team, amount) is not None:
                        return False
                    await manager.changed.wait()
                return True
        return False

    def on_request(self, team: str, asked: TokenRequest) -> int:
        """Return what this entry hands over to one that asks.

        A home hands over all or nothing: parts of a call's budget would lie with
        several entries, of use to none. If it has too little it raises its mark.
        """
        is_home = self.is_home_of(team)
        amount = self.transferable(team, asked)
        if amount < asked.amount and is_home:
            self.record_request(team, asked.amount)
            return 0
        self.hand_over(team, amount)
        return amount

    def record_request(self, team: str, amount: int) -> None:
        """Raise this home's mark by what others lack."""
        manager = self.manager(team)
        manager.account(team).ask(amount, self.clock())
        manager.request_commit()
        if manager.is_stalled():
            manager.open_reserve()

    def transferable(self, team: str, asked: TokenRequest) -> int:
        """Return how much of what is asked could be handed over now.

        A home raises its mark for its own calls as for others, and keeps nothing back.
        """
        account = self.manager(team).account(team)
        if self.is_home_of(team):
            return max(0, min(asked.amount, account.free - account.waiting))
        return transferable_amount(account, asked, self.clock())

    def hand_over(self, team: str, amount: int) -> None:
        """Count ``amount`` as spent: another entry has it now."""
        account = self.manager(team).account(team)
        account.give(amount)
        if self.is_home_of(team):
            account.record_lending(amount, self.clock())
        self._raise_before_empty(self.manager(team), team)

    def _raise_before_empty(self, manager: QuotaManager, team: str) -> None:
        """Let a home raise its mark before it runs out, off the way of calls."""
        if not self.is_home_of(team):
            return
        account = manager.account(team)
        if account.free < LOW_FRACTION * unwitnessed_target(account, 0.0, self.clock()):
            manager.request_commit()

    def on_transfer(self, team: str, amount: int, giver: str) -> None:
        """Take what the entry ``giver`` has handed over, which may be nothing."""
        manager = self.manager(team)
        if giver == self.budget_peers.home_of(self.part(team)):
            self.request_pacing[team].on_home_answer(self.clock(), bool(amount))
        account = manager.account(team)
        if amount:
            account.take(amount)
        if not account.waiting:
            self._return_surplus(manager, team)
        manager.notify_waiters()

    def on_remaining(self, team: str, remaining: RemainingBudget) -> None:
        """Take what the home says is left of a budget."""
        self.reported[team] = RemainingReport(self.clock(), remaining)

    def remaining(self, team: str) -> RemainingBudget | None:
        """Return what is left of a budget, none if the store was not read lately.

        It is worked out once for all that ask within some milliseconds.
        """
        known = self.remaining_cache.get(team)
        now = self.clock()
        if known is not None and now - known.at < REMAINING_CACHE_SECONDS:
            return known.remaining
        manager = self.manager(team)
        if not manager.is_fresh():
            return None
        shortfall = manager.shortfall(team, 0)
        if shortfall.left is None or shortfall.uncertain is None:
            return None
        remaining = RemainingBudget(shortfall.left, shortfall.uncertain)
        self.remaining_cache[team] = RemainingReport(now, remaining)
        return remaining

    def _return_surplus(self, manager: QuotaManager, team: str) -> None:
        """Give the home what is left of calls that have ended."""
        home = self.budget_peers.home_of(self.part(team))
        if home is None:
            return
        account = manager.account(team)
        kept = borrow_target(account, self.clock())
        surplus = account.free - kept
        if account.free <= RETURN_FACTOR * kept or surplus <= 0:
            return
        if self.budget_peers.give_back(home, team, surplus):
            account.give(surplus)

    def is_home_of(self, team: str) -> bool:
        """Tell whether this entry is the home of a team's budget."""
        return self._is_home(self.part(team))

    def settle(self, reservation: Reservation, spent: int) -> None:
        """Give back what a call did not use."""
        if reservation.amount == 0:
            return
        manager = self.manager(reservation.team)
        account = manager.account(reservation.team)
        account.settle(reservation.amount, spent)
        if account.waiting:
            manager.notify_waiters()
        else:
            self._return_surplus(manager, reservation.team)

    def close(self) -> None:
        """Keep no more than calls in progress need: no other will come."""
        for manager in self.managers:
            manager.close()

    async def release(self, within: float) -> None:
        """Give back what is not used, within some seconds: the process ends."""
        self.close()
        with suppress(TimeoutError):
            async with timeout(within):
                await gather(*(manager.commit() for manager in self.managers))
