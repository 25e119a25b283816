"""Tests that entries send few requests for tokens, however many calls wait."""

from asyncio import create_task, gather, get_running_loop, sleep

import pytest

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_ledger.quota_requests import TokenRequest
from clementinebend_records.identifiers import new_incarnation
from clementinebend_relay.budgets import FALLBACK_SECONDS, Budgets, Reservation
from clementinebend_relay.discovery import Directory
from clementinebend_relay.models import Team
from clementinebend_relay.quota_manager import BORROWER_COMMIT_INTERVAL
from clementinebend_relay.quota_view import Shortfall
from clementinebend_relay.request_pacing import (
    ALL_REQUEST_INTERVAL,
    HOME_REQUEST_INTERVAL,
    RequestPacing,
)
from clementinebend_relay.witnesses import Witnesses
from tests.unit.relay.simulated_fleet import TEAM, FakeLog

WAIT = 0.3
HOME = "entry-0"
SAME_ITERATION = 1e-10
"""Seconds between two timers that the event loop handles in the same iteration."""


class CountingLog(FakeLog):
    """A log that counts how often it is read."""

    def __init__(self) -> None:
        super().__init__([], [])
        self.reads = 0

    async def newest(self, after="", patience=0.0):  # type: ignore[no-untyped-def]
        self.reads += 1
        return await super().newest(after, patience)

    async def read(self, offset, wait):  # type: ignore[no-untyped-def]
        self.reads += 1
        return await super().read(offset, wait)


class StubPeers:
    """Peers whose home has nothing left, and either says so or does not answer."""

    def __init__(self, budgets: Budgets, answers: bool) -> None:
        self.budgets = budgets
        self.answers = answers
        self.asked_home = 0
        self.asked_all = 0

    def home_of(self, part: int) -> str | None:
        return HOME

    def is_heard(self, boot: str) -> bool:
        return True

    def ask(self, entry: str, team: str, asked: TokenRequest) -> None:
        self.asked_home += 1
        if self.answers:
            self.budgets.on_transfer(team, 0, HOME)

    def ask_others(self, team: str, asked: TokenRequest) -> None:
        self.asked_all += 1

    def return_tokens(self, entry: str, team: str, amount: int) -> bool:
        return False

    def serve_unmet(self, part: int) -> None:
        """Do nothing, as no other entry has requested anything."""


def test_the_home_is_silent_once_it_has_left_a_request_unanswered() -> None:
    request_pacing = RequestPacing()
    assert request_pacing.may_ask_home(0.0)
    assert not request_pacing.may_ask_home(HOME_REQUEST_INTERVAL / 2)
    assert not request_pacing.is_home_silent(HOME_REQUEST_INTERVAL / 2)
    assert request_pacing.is_home_silent(HOME_REQUEST_INTERVAL)
    request_pacing.on_home_answer(HOME_REQUEST_INTERVAL, is_met=True)
    assert not request_pacing.is_home_silent(2.0)


def test_an_unanswered_request_expires() -> None:
    request_pacing = RequestPacing()
    request_pacing.may_ask_home(1.0)
    assert request_pacing.may_ask_home(60.0)
    assert not request_pacing.is_home_silent(60.0 + HOME_REQUEST_INTERVAL / 2)


def test_all_entries_are_asked_at_intervals() -> None:
    request_pacing = RequestPacing()
    assert request_pacing.may_ask_all(0.0)
    assert not request_pacing.may_ask_all(ALL_REQUEST_INTERVAL / 2)
    assert request_pacing.may_ask_all(ALL_REQUEST_INTERVAL)


def make_budgets(log: FakeLog) -> Budgets:
    """Return the budgets of an entry that knows no witness."""
    clock = get_running_loop().time
    boot = new_incarnation("entry-1")
    witnesses = Witnesses(boot, "z", Directory(), lambda message, to: None, clock)
    return Budgets(boot, (log,), witnesses, lambda holder: False, clock)


async def test_an_entry_that_is_not_the_home_reads_seldom() -> None:
    log = CountingLog()
    budgets = make_budgets(log)
    budgets.attach(StubPeers(budgets, answers=False))
    manager = budgets.managers[0]
    running = create_task(manager.run())
    started = get_running_loop().time()
    while get_running_loop().time() < started + 3 * BORROWER_COMMIT_INTERVAL:
        manager.request_commit()
        await sleep(BORROWER_COMMIT_INTERVAL / 20)
    running.cancel()
    assert 2 <= log.reads <= 4


@pytest.mark.parametrize("answers", [True, False])
async def test_waiting_calls_share_their_requests(answers: bool) -> None:
    budgets = make_budgets(FakeLog([], []))
    stub_peers = StubPeers(budgets, answers)
    budgets.attach(stub_peers)
    team = Team(TEAM, 1_000_000, None)
    waits = (budgets.reserve(team, 100, WAIT) for _ in range(50))
    outcomes = await gather(*waits)
    assert all(isinstance(outcome, Shortfall) for outcome in outcomes)
    assert 2 <= stub_peers.asked_home <= WAIT / HOME_REQUEST_INTERVAL + 2
    assert stub_peers.asked_all <= WAIT / ALL_REQUEST_INTERVAL + 1
    assert budgets.managers[0].commit_requested.is_set() != answers


async def test_an_entry_that_is_no_home_knows_of_an_outage_by_its_other_reads() -> None:
    budgets = make_budgets(FakeLog([], []))
    budgets.attach(StubPeers(budgets, answers=True))
    assert not budgets.is_log_unavailable()
    budgets.is_store_lost = lambda: True
    assert budgets.is_log_unavailable()


async def is_reserved_with_grant(wait: float) -> bool:
    """Return whether a call gets tokens that come as its wait ends.

    Both are handled in the same iteration of the event loop.
    """
    budgets = make_budgets(FakeLog([], []))
    budgets.attach(StubPeers(budgets, answers=False))
    grant_at = wait - SAME_ITERATION
    get_running_loop().call_later(grant_at, budgets.on_transfer, TEAM, 100, HOME)
    outcome = await budgets.reserve(Team(TEAM, 1_000_000, None), 100, wait)
    return isinstance(outcome, Reservation)


def test_tokens_that_arrive_together_with_the_end_of_the_wait_are_used() -> None:
    """Guards against a refusal while the tokens are here, as the loop was late."""
    assert run_virtually(is_reserved_with_grant(1.5 * FALLBACK_SECONDS))
