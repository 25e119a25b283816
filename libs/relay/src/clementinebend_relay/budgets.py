"""Reserves and settles tokens of prepaid budgets for the calls of this entry."""

from asyncio import Timeout, gather, get_running_loop, timeout
from collections import defaultdict
from collections.abc import Callable, Iterable
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
from clementinebend_relay.home_reports import HomeReports, RemainingReport
from clementinebend_relay.messages import RemainingBudget
from clementinebend_relay.models import Configuration, Team
from clementinebend_relay.quota_manager import QuotaManager
from clementinebend_relay.quota_view import FRESH_SECONDS, QuotaView, Shortfall
from clementinebend_relay.request_pacing import HOME_REQUEST_INTERVAL, RequestPacing
from clementinebend_relay.witnesses import Witnesses
from clementinebend_transport.late_waits import late_waits

FALLBACK_SECONDS = HOME_REQUEST_INTERVAL
"""Seconds that a waiting call gives the home or the store, which answer in some 5 and
10 ms, before it also tries the reserve and the other entries."""

BUDGET_WAIT = 0.25
"""Seconds that a call waits for its budget while the store answers normally. A new
configuration that all entries read at once delays a home's append by some 0.1 s; a
caller that is told to retry after 0.5 s is late in any case."""

STORE_ANSWERS_AWAITED = 2.5
"""How many store answers a call waits for if the store is slow: the one in progress and
the next."""

MAX_BUDGET_WAIT = 0.8
"""Maximum seconds that a call waits for its budget: two answers of a slow store. A
refused caller would take about as long to retry."""

LOW_FRACTION = 0.5
"""Fraction of the unwitnessed target below which a home raises its quota early. The
remainder lasts for the duration of the append."""

REMAINING_VALID_SECONDS = 0.25
"""Seconds for which calls are refused at once because the home reported too small a
remaining budget. After that the home is asked again, as calls may have returned unused
tokens."""

REMAINING_CACHE_SECONDS = 0.02
"""Seconds for which the remaining budget is cached: a home on a small host may be asked
for the same budget a hundred times a second."""

RETURN_FACTOR = 3
"""An entry returns its surplus to the home once it has more than this multiple of its
borrow target. Tokens that many entries keep after their calls have ended are missing
elsewhere: calls are refused although budget is left."""

PARTITION_SEPARATOR = "@"
"""Separates the boot of an entry from the partition in a holder's name."""


class Reservation(NamedTuple):
    """Tokens reserved for one call."""

    team: str
    amount: int


def holder_name(boot: str, part: int) -> str:
    """Return the holder name of a boot of an entry in a partition."""
    return f"{boot}{PARTITION_SEPARATOR}{part}"


def boot_of(holder: str) -> str:
    """Return the boot that a holder name contains."""
    return holder.rpartition(PARTITION_SEPARATOR)[0]


class Budgets:
    """All budgets of this entry, by team.

    ``is_succeeded`` returns whether an entry has a later boot than the given one.
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
        self.home_reports = HomeReports(clock)
        self.remaining_cache: dict[str, RemainingReport] = {}
        self.managers = tuple(
            QuotaManager(self._view(holder_name(boot, part), part, witnesses), log)
            for part, log in enumerate(logs)
        )

    def attach(self, budget_peers: BudgetPeers) -> None:
        """Set the other entries, which are notified when more tokens are available."""
        self.budget_peers = budget_peers
        for part, manager in enumerate(self.managers):
            manager.on_change = partial(budget_peers.serve_unmet, part)

    def configure(self, configuration: Configuration) -> None:
        """Apply the budgets of a configuration."""
        self.home_reports.forget_remaining()
        self.remaining_cache.clear()
        prepaid: list[dict[str, int]] = [{} for _ in self.managers]
        for team in configuration.teams.values():
            if team.prepaid is not None:
                prepaid[self.part(team.name)][team.name] = team.prepaid
        for manager, part_budgets in zip(self.managers, prepaid, strict=True):
            manager.configure(part_budgets)

    def manager(self, team: str) -> QuotaManager:
        """Return the quota manager of a team; all entries choose the same one."""
        return self.managers[self.part(team)]

    def part(self, team: str) -> int:
        """Return the partition that holds the quotas of a team."""
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
        slowest = max(slowest, self.home_reports.answer_seconds())
        return min(MAX_BUDGET_WAIT, max(BUDGET_WAIT, STORE_ANSWERS_AWAITED * slowest))

    def answer_seconds(self, team: str) -> float:
        """Return how many seconds the store takes to answer for a team's quotas."""
        return self.manager(team).answer_seconds

    def on_home_answer_seconds(self, seconds: float) -> None:
        """Record a home's store answer time, unless a longer one is still valid."""
        self.home_reports.on_answer_seconds(min(MAX_BUDGET_WAIT, seconds))

    def is_log_unavailable(self) -> bool:
        """Return whether some partition of the log is currently unavailable.

        An entry that is not a home rarely calls the log; it relies on the state of its
        other reads of the store.
        """
        return self.is_store_lost() or any(
            manager.is_unavailable() for manager in self.managers
        )

    async def reserve(
        self, team: Team, amount: int, wait: float, longest_wait: float = 0.0
    ) -> Reservation | Shortfall:
        """Reserve ``amount`` tokens, waiting up to ``wait`` seconds for them.

        The wait is extended, up to ``longest_wait`` seconds in all, if the home reports
        a slow store in the meantime.
        """
        if team.prepaid is None or amount == 0:
            return Reservation(team.name, 0)
        manager = self.manager(team.name)
        account = manager.account(team.name)
        if account.reserve(amount):
            account.record_demand(amount, self.clock())
            self._borrow(team.name)
            self._raise_before_empty(manager, team.name)
            return Reservation(team.name, amount)
        if (shortfall := self._final_shortfall(manager, team.name, amount)) is not None:
            return shortfall
        account.record_demand(amount, self.clock())
        account.start_waiting(amount)
        is_reserved = False
        try:
            with suppress(TimeoutError):  # the caller logs why it is refused
                async with timeout(wait) as wait_timeout:
                    latest_deadline = get_running_loop().time() + longest_wait
                    is_reserved = await self._wait_until_reserved(
                        manager, team.name, amount, wait_timeout, latest_deadline
                    )
        finally:
            account.stop_waiting(amount)
        # The amount may have been granted as the timeout expired.
        if not is_reserved and account.reserve(amount):
            late_waits.inc()
            is_reserved = True
        if is_reserved:
            return Reservation(team.name, amount)
        self._return_surplus(manager, team.name)
        return self._shortfall(manager, team.name, amount)

    def _final_shortfall(
        self, manager: QuotaManager, team: str, amount: int
    ) -> Shortfall | None:
        """Return the shortfall if waiting cannot help, or None if it might."""
        shortfall = self._shortfall(manager, team, amount)
        if shortfall.left is None or shortfall.left >= amount or shortfall.age is None:
            return None
        is_home = self.is_home_of(team)
        is_fresh = (
            manager.is_fresh() if is_home else shortfall.age < REMAINING_VALID_SECONDS
        )
        return shortfall if is_fresh else None

    def _shortfall(self, manager: QuotaManager, team: str, amount: int) -> Shortfall:
        """Return why ``amount`` cannot be reserved, going by the home's last report."""
        reported = self.home_reports.remaining.get(team)
        if reported is None or self.is_home_of(team):
            return manager.shortfall(team, amount)
        age = self.clock() - reported.at
        left, uncertain = reported.remaining
        left += max(0, manager.account(team).free)
        is_spent = age < FRESH_SECONDS and left + uncertain < amount
        return Shortfall(is_spent, left, uncertain, age)

    def _borrow(self, team: str) -> None:
        """Request more tokens from the home before the borrowed ones run out."""
        home = self.budget_peers.home_of(self.part(team))
        if home is None:
            return
        now = self.clock()
        account = self.manager(team).account(team)
        target = self._borrow_target(team, now)
        is_low = account.free < target // 2
        if is_low and self.request_pacing[team].may_ask_home(now):
            self.budget_peers.ask(home, team, TokenRequest(target))

    def _borrow_target(self, team: str, now: float) -> int:
        """Return how many tokens this entry should have borrowed ahead of calls."""
        view = self.manager(team).view
        return borrow_target(view.account(team), view.prepaid.get(team, 0), now)

    async def _wait_until_reserved(
        self,
        manager: QuotaManager,
        team: str,
        amount: int,
        wait_timeout: Timeout,
        latest_deadline: float,
    ) -> bool:
        """Return true once ``amount`` is reserved, whoever provides the tokens.

        The first attempt waits for the home, or for the store if this entry is the
        home. Returns false as soon as the home reports that too little is left.
        ``wait_timeout`` is extended, to ``latest_deadline`` at most, when
        ``wait_seconds`` grows during the wait.
        """
        started_at = get_running_loop().time()
        self._request_first(manager, team, amount)
        while not await self._reserve_briefly(manager, team, amount):
            if self._final_shortfall(manager, team, amount) is not None:
                return False
            deadline = min(latest_deadline, started_at + self.wait_seconds())
            if deadline > (wait_timeout.when() or 0.0):
                wait_timeout.reschedule(deadline)
            self._request_again(manager, team, amount)
        return True

    def _request_first(self, manager: QuotaManager, team: str, amount: int) -> None:
        home = self.budget_peers.home_of(self.part(team))
        if home is not None:
            self._ask_home(home, team, amount)
        elif manager.is_stalled():
            manager.open_reserve()
        else:
            manager.request_commit()

    def _request_again(self, manager: QuotaManager, team: str, amount: int) -> None:
        """Ask the home again; if it is silent, ask the store and other entries."""
        home = self.budget_peers.home_of(self.part(team))
        now = self.clock()
        request_pacing = self.request_pacing[team]
        is_without_home = home is None or request_pacing.is_home_gone(now)
        if is_without_home:
            manager.request_commit()
            if manager.is_stalled() or home is not None:
                manager.open_reserve()
        if home is not None:
            self._ask_home(home, team, amount)
        if is_without_home and request_pacing.may_ask_all(now):
            prepaid = manager.view.prepaid.get(team, 0)
            asked = token_request(manager.account(team), amount, prepaid, now)
            self.budget_peers.ask_others(team, asked)

    def _ask_home(self, home: str, team: str, amount: int) -> None:
        """Request the tokens that all waiting calls need, one of which is ``amount``.

        A home transfers all or nothing. If it has reported that less is left, that
        much is requested, so that some of the calls can be served.
        """
        now = self.clock()
        account = self.manager(team).account(team)
        if not self.request_pacing[team].may_ask_home(now):
            return
        needed = account.waiting + self._borrow_target(team, now)
        reported = self.home_reports.remaining.get(team)
        if reported is not None and now - reported.at < REMAINING_VALID_SECONDS:
            needed = max(amount, min(needed, reported.remaining.left))
        self.budget_peers.ask(home, team, TokenRequest(needed))

    async def _reserve_briefly(
        self, manager: QuotaManager, team: str, amount: int
    ) -> bool:
        """Wait briefly for ``amount``; return whether it is reserved."""
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
        """Return how many tokens this entry transfers to one that requests them.

        A home transfers all or nothing: parts of a call's budget that are spread over
        several entries are of no use to any of them. If it has too little it raises its
        quota.
        """
        is_home = self.is_home_of(team)
        amount = self.transferable(team, asked)
        if amount < asked.amount and is_home:
            self.record_requests(team, (asked.amount,))
            return 0
        self.hand_over(team, amount)
        return amount

    def record_requests(self, team: str, amounts: Iterable[int]) -> None:
        """Raise this home's quota by the amounts that other entries lack."""
        manager = self.manager(team)
        manager.account(team).ask(amounts, self.clock())
        manager.request_commit()
        if manager.is_stalled():
            manager.open_reserve()

    def prepare_home(self, part: int) -> None:
        """Read the quotas of a partition, as this entry is about to be its home."""
        manager = self.managers[part]
        if not manager.is_fresh():
            manager.request_commit()

    def transferable(self, team: str, asked: TokenRequest) -> int:
        """Return how many of the requested tokens could be transferred now.

        A home retains nothing for itself, as it raises its quota for its own calls and
        for those of others alike.
        """
        account = self.manager(team).account(team)
        if self.is_home_of(team):
            return max(0, min(asked.amount, account.free - account.waiting))
        return transferable_amount(account, asked, self.clock())

    def hand_over(self, team: str, amount: int) -> None:
        """Count ``amount`` as spent, as another entry has it now."""
        account = self.manager(team).account(team)
        account.give(amount)
        if self.is_home_of(team):
            account.record_lending(amount, self.clock())
        self._raise_before_empty(self.manager(team), team)

    def _raise_before_empty(self, manager: QuotaManager, team: str) -> None:
        """Let a home raise its quota before it runs out, without delaying calls."""
        if not self.is_home_of(team):
            return
        account = manager.account(team)
        if account.free < LOW_FRACTION * unwitnessed_target(account, 0.0, self.clock()):
            manager.request_commit()

    def on_transfer(
        self, team: str, amount: int, giver: str, is_taking_over: bool = False
    ) -> None:
        """Apply a transfer, possibly of no tokens, from the entry ``giver``.

        A giver that is taking over as home is asked again soon.
        """
        manager = self.manager(team)
        if giver == self.budget_peers.home_of(self.part(team)):
            is_asked_soon = bool(amount) or is_taking_over
            self.request_pacing[team].on_home_answer(self.clock(), is_asked_soon)
        account = manager.account(team)
        if amount:
            account.take(amount)
        if not account.waiting:
            self._return_surplus(manager, team)
        manager.notify_waiters()

    def on_remaining(self, team: str, remaining: RemainingBudget) -> None:
        """Record the remaining budget that the home reported."""
        self.home_reports.on_remaining(team, remaining)

    def remaining(self, team: str) -> RemainingBudget | None:
        """Return the remaining budget, or None if the store was not read recently.

        The result is cached for some milliseconds, for all requests that arrive
        meanwhile.
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
        """Return tokens left over from ended calls to the home."""
        home = self.budget_peers.home_of(self.part(team))
        if home is None:
            return
        account = manager.account(team)
        kept = self._borrow_target(team, self.clock())
        surplus = account.free - kept
        if account.free <= RETURN_FACTOR * kept or surplus <= 0:
            return
        if self.budget_peers.return_tokens(home, team, surplus):
            account.give(surplus)

    def is_home_of(self, team: str) -> bool:
        """Return whether this entry is the home of a team's budget."""
        return self._is_home(self.part(team))

    def settle(self, reservation: Reservation, spent: int) -> None:
        """Release the tokens that a call did not use."""
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
        """Keep only what calls in progress need; no further calls will arrive."""
        for manager in self.managers:
            manager.close()

    async def release(self, within: float) -> None:
        """Return all unused tokens within some seconds, as the process is ending."""
        self.close()
        with suppress(TimeoutError):
            async with timeout(within):
                await gather(*(manager.commit() for manager in self.managers))
