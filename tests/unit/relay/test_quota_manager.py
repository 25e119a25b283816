"""Tests what a holder may spend while it cannot know the state of the log."""

from collections.abc import Iterator

import pytest

from clementinebend_ledger.quota_account import SLOW_RATE_SECONDS
from clementinebend_ledger.quota_requests import TokenRequest
from clementinebend_relay.budgets import BUDGET_WAIT, MAX_BUDGET_WAIT
from clementinebend_relay.quota_manager import MIN_POSTPONED_SECONDS, RETURN_INTERVAL
from clementinebend_relay.quota_plan import REWRITE_SECONDS
from clementinebend_relay.quota_view import LIVE_SECONDS
from tests.unit.relay.simulated_fleet import TEAM, SimulatedFleet

PREPAID = 100_000
SLOW_ANSWER_SECONDS = 0.3


@pytest.fixture
def fleet() -> Iterator[SimulatedFleet]:
    made = SimulatedFleet(3, PREPAID)
    made.ping()
    for number in range(3):
        made.commit(number)
    yield made
    made.close()


def spend_all(fleet: SimulatedFleet, number: int) -> None:
    """Reserve until nothing is free."""
    entry = fleet.entries[number]
    while entry.account.free > 0:
        assert entry.call(entry.account.free)


def raise_demand(fleet: SimulatedFleet, number: int) -> None:
    """Let callers request many tokens, so that the entry needs a large quota."""
    for _ in range(20):
        fleet.entries[number].account.record_demand(400, fleet.clock())
    fleet.commit(number)


def open_reserve(fleet: SimulatedFleet, number: int) -> None:
    fleet.entries[number].manager.open_reserve()
    fleet.deliver()


def test_the_reserve_needs_all_witnesses(fleet: SimulatedFleet) -> None:
    raise_demand(fleet, 0)
    entry = fleet.entries[0]
    before = entry.account.limit
    entry.manager.open_reserve()
    fleet.deliver(lambda sent: sent.to != fleet.entries[1].address)
    assert entry.account.limit == before
    open_reserve(fleet, 0)
    assert entry.account.limit > before


def test_a_pending_lower_quota_applies_at_once(fleet: SimulatedFleet) -> None:
    raise_demand(fleet, 0)
    open_reserve(fleet, 0)
    entry = fleet.entries[0]
    entry.log.mode = "late"
    entry.manager.plan.is_closing = True
    fleet.commit(0)
    entry.manager.plan.is_closing = False
    spend_all(fleet, 0)
    fleet.execute_delayed()
    assert not fleet.over_quotas()


def test_an_append_without_answer_is_sent_again_unchanged(
    fleet: SimulatedFleet,
) -> None:
    raise_demand(fleet, 0)
    entry = fleet.entries[0]
    entry.log.mode = "late"
    entry.manager.plan.is_closing = True
    fleet.commit(0)
    entry.manager.plan.is_closing = False
    raise_demand(fleet, 0)
    first, second = fleet.delayed
    assert first == second
    spend_all(fleet, 0)
    fleet.execute_delayed()
    assert not fleet.over_quotas()


def test_an_unopened_reserve_of_a_dead_holder_is_free_again(
    fleet: SimulatedFleet,
) -> None:
    raise_demand(fleet, 0)
    dead = fleet.entries[0].boot
    quota = fleet.quotas()[dead]
    assert quota.ceiling > quota.unwitnessed
    fleet.restart(0)
    fleet.commit(1)
    fleet.deliver()
    fleet.commit(1)
    assert fleet.quotas()[dead].ceiling == quota.unwitnessed


def test_an_opened_reserve_of_a_dead_holder_stays_lost(fleet: SimulatedFleet) -> None:
    raise_demand(fleet, 0)
    open_reserve(fleet, 0)
    spend_all(fleet, 0)
    dead = fleet.entries[0].boot
    quota = fleet.quotas()[dead]
    fleet.restart(0)
    for _ in range(3):
        fleet.clock.now += 3.0
        fleet.commit(1)
        fleet.deliver()
    assert fleet.quotas()[dead].ceiling == quota.ceiling
    assert not fleet.over_quotas()


def test_a_live_holder_taken_for_dead_loses_only_its_reserve(
    fleet: SimulatedFleet,
) -> None:
    raise_demand(fleet, 0)
    entry = fleet.entries[0]
    fleet.clock.now += 3.0
    fleet.commit(1)
    fleet.deliver()
    fleet.commit(1)
    open_reserve(fleet, 0)
    spend_all(fleet, 0)
    assert not fleet.over_quotas()
    fleet.commit(0)
    assert fleet.quotas()[entry.boot].ceiling >= entry.account.used


def test_what_is_handed_over_is_counted_once(fleet: SimulatedFleet) -> None:
    raise_demand(fleet, 0)
    open_reserve(fleet, 0)
    fleet.hand_over(0, 1, 50, arrives=True)
    spend_all(fleet, 0)
    spend_all(fleet, 1)
    assert fleet.total() <= sum(quota.ceiling for quota in fleet.quotas().values())


def test_a_planned_end_gives_back_what_is_unused(fleet: SimulatedFleet) -> None:
    raise_demand(fleet, 0)
    entry = fleet.entries[0]
    fleet.loop.run_until_complete(entry.budgets.release(1.0))
    assert fleet.quotas()[entry.boot].ceiling == entry.account.used


def test_a_holder_that_is_heard_lives_though_it_writes_nothing(
    fleet: SimulatedFleet,
) -> None:
    raise_demand(fleet, 0)
    raise_demand(fleet, 1)
    view = fleet.entries[0].manager.view
    other = fleet.entries[1].manager.view.holder
    fleet.commit(0)
    fleet.clock.now += LIVE_SECONDS + 1
    assert other not in view.live()
    lost = fleet.entries[0].manager.shortfall(TEAM, 1).left
    view.is_heard = lambda holder: holder == other
    assert other in view.live()
    assert fleet.entries[0].manager.shortfall(TEAM, 1).left > lost


def test_an_entry_that_is_not_the_home_writes_what_it_spends_of_its_own_quota(
    fleet: SimulatedFleet,
) -> None:
    raise_demand(fleet, 0)
    entry = fleet.entries[0]
    entry.is_home = False
    spend_all(fleet, 0)
    entry.finish(1.0)
    fleet.commit(0)
    assert fleet.quotas()[entry.boot].spent == entry.account.spent


def test_an_entry_returns_its_quota_only_while_the_store_is_fast(
    fleet: SimulatedFleet,
) -> None:
    """Guards against returns that make a home lose the race for the log's end."""
    borrower = fleet.entries[1]
    fleet.commit(1)
    borrower.is_home = False
    borrower.log.seconds = SLOW_ANSWER_SECONDS
    before = len(fleet.records)
    for _ in range(3):
        fleet.clock.now += RETURN_INTERVAL
        assert fleet.commit(1)
    assert len(fleet.records) == before
    borrower.log.seconds = 0.0
    assert fleet.commit(1)
    assert len(fleet.records) > before
    assert not borrower.manager.view.has_open_quotas()


def test_an_entry_returns_its_quota_at_last_to_a_store_that_stays_slow(
    fleet: SimulatedFleet,
) -> None:
    borrower = fleet.entries[1]
    fleet.commit(1)
    borrower.is_home = False
    borrower.log.seconds = SLOW_ANSWER_SECONDS
    assert fleet.commit(1)
    assert borrower.manager.view.has_open_quotas()
    fleet.clock.now += 2 * MIN_POSTPONED_SECONDS
    assert fleet.commit(1)
    assert not borrower.manager.view.has_open_quotas()


def test_a_waiting_call_raises_a_quota_also_while_the_store_is_slow(
    fleet: SimulatedFleet,
) -> None:
    borrower = fleet.entries[1]
    borrower.is_home = False
    borrower.log.seconds = SLOW_ANSWER_SECONDS
    borrower.account.start_waiting(500)
    assert fleet.commit(1)
    assert borrower.account.free >= 500


def test_a_spent_budget_is_reported_as_spent(fleet: SimulatedFleet) -> None:
    shortfall = fleet.entries[0].manager.shortfall(TEAM, PREPAID + 1)
    assert shortfall.is_spent
    assert not fleet.entries[0].manager.shortfall(TEAM, PREPAID // 2).is_spent


def test_a_home_opens_its_reserve_while_the_log_does_not_answer(
    fleet: SimulatedFleet,
) -> None:
    raise_demand(fleet, 0)
    entry = fleet.entries[0]
    spend_all(fleet, 0)
    entry.manager.call_started_at = fleet.clock.now
    fleet.clock.now += 0.2
    entry.budgets.on_request(TEAM, TokenRequest(50))
    fleet.deliver()
    assert entry.budgets.on_request(TEAM, TokenRequest(50)) > 0


def test_an_entry_that_gave_back_what_it_borrowed_still_writes_what_it_spends(
    fleet: SimulatedFleet,
) -> None:
    raise_demand(fleet, 0)
    entry = fleet.entries[1]
    entry.is_home = False
    for _ in range(21):
        entry.account.record_demand(400, fleet.clock())
    fleet.hand_over(0, 1, 500, arrives=True)
    fleet.commit(1)
    assert fleet.quotas()[entry.boot].ceiling < 0
    assert entry.account.free > 0
    assert entry.call(entry.account.free)
    entry.finish(1.0)
    assert entry.manager.plan.next_append(fleet.clock()) is not None
    fleet.commit(1)
    assert fleet.quotas()[entry.boot].spent == entry.account.spent


def test_repeated_requests_do_not_count_as_demand(fleet: SimulatedFleet) -> None:
    raise_demand(fleet, 0)
    spend_all(fleet, 0)
    entry = fleet.entries[0]
    before = entry.account.peak_rate(fleet.clock())
    for _ in range(20):
        assert entry.budgets.on_request(TEAM, TokenRequest(50_000)) == 0
    assert entry.account.peak_rate(fleet.clock()) <= before


def test_calls_wait_longer_for_a_slow_log_but_not_for_an_unavailable_one(
    fleet: SimulatedFleet,
) -> None:
    budgets = fleet.entries[0].budgets
    assert budgets.wait_seconds() == BUDGET_WAIT
    fleet.entries[0].log.seconds = 0.15
    raise_demand(fleet, 0)
    assert BUDGET_WAIT < budgets.wait_seconds() <= MAX_BUDGET_WAIT
    assert not budgets.is_log_unavailable()
    fleet.entries[0].log.mode = "down"
    raise_demand(fleet, 0)
    assert budgets.wait_seconds() == BUDGET_WAIT
    assert budgets.is_log_unavailable()


def test_calls_wait_longer_while_their_home_reports_a_slow_log(
    fleet: SimulatedFleet,
) -> None:
    budgets = fleet.entries[0].budgets
    budgets.on_home_answer_seconds(0.2)
    assert budgets.wait_seconds() == pytest.approx(0.5)
    budgets.on_home_answer_seconds(0.0)
    assert budgets.wait_seconds() == pytest.approx(0.5)
    for invalid in (-1.0, float("nan"), float("inf")):
        budgets.on_home_answer_seconds(invalid)
        assert BUDGET_WAIT <= budgets.wait_seconds() <= MAX_BUDGET_WAIT


def test_a_small_shortfall_after_a_large_call_is_written(
    fleet: SimulatedFleet,
) -> None:
    account = fleet.entries[0].account
    account.start_waiting(16_000)
    fleet.commit(0)
    account.stop_waiting(16_000)
    assert account.reserve(account.free)
    account.start_waiting(600)
    fleet.commit(0)
    assert account.reserve(600)


def test_a_home_writes_a_small_shortfall_of_another_entry(
    fleet: SimulatedFleet,
) -> None:
    entry = fleet.entries[0]
    account = entry.account
    account.start_waiting(16_000)
    fleet.commit(0)
    account.stop_waiting(16_000)
    assert account.reserve(account.free - 50)
    given = entry.budgets.on_request(TEAM, TokenRequest(124))
    assert given < 124
    fleet.commit(0)
    assert entry.budgets.on_request(TEAM, TokenRequest(124 - given)) == 124 - given


def start_calls(fleet: SimulatedFleet, number: int) -> None:
    """Let many calls be in progress, so that no small change of the quota is due."""
    entry = fleet.entries[number]
    entry.account.start_waiting(20 * 400)
    fleet.commit(number)
    entry.account.stop_waiting(20 * 400)
    for _ in range(20):
        assert entry.call(400)
    fleet.clock.now += 8 * SLOW_RATE_SECONDS
    fleet.ping()
    for other in range(len(fleet.entries)):
        fleet.commit(other)


def use_reserve(fleet: SimulatedFleet, number: int) -> None:
    """Start calls that need a part of the reserve."""
    open_reserve(fleet, number)
    entry = fleet.entries[number]
    quota = fleet.quotas()[entry.boot]
    while entry.account.used <= quota.unwitnessed:
        assert entry.call(40)


def reclaim(fleet: SimulatedFleet, number: int) -> None:
    """Let an entry reclaim the reserves of those that seem dead."""
    fleet.commit(number)
    fleet.clock.now += LIVE_SECONDS + 1
    for _ in range(2):
        fleet.commit(number)
        fleet.deliver()


@pytest.mark.parametrize("outages", [1, 3])
def test_a_reserve_in_use_is_not_reclaimed_after_a_later_epoch(
    fleet: SimulatedFleet, outages: int
) -> None:
    """Guards against a budget overspent by the next home of an entry that died."""
    start_calls(fleet, 0)
    for _ in range(outages):
        use_reserve(fleet, 0)
        fleet.clock.now += REWRITE_SECONDS + 0.1
        fleet.ping()
        fleet.commit(0)
    fleet.restart(0)
    reclaim(fleet, 1)
    assert not fleet.over_quotas()


def test_a_reserve_in_use_of_a_team_without_a_budget_now_is_not_reclaimed(
    fleet: SimulatedFleet,
) -> None:
    """Guards against the same for a budget that is taken away and given again."""
    start_calls(fleet, 0)
    use_reserve(fleet, 0)
    fleet.entries[0].manager.configure({})
    fleet.clock.now += REWRITE_SECONDS + 0.1
    fleet.commit(0)
    fleet.restart(0)
    reclaim(fleet, 1)
    assert not fleet.over_quotas()


def test_a_home_that_ceases_to_be_one_keeps_its_reserve_in_use(
    fleet: SimulatedFleet,
) -> None:
    """Guards against the same after a resignation, as it writes others' quotas."""
    start_calls(fleet, 0)
    use_reserve(fleet, 0)
    epoch = fleet.entries[0].manager.view.record().epoch
    fleet.entries[0].is_home = False
    reclaim(fleet, 0)
    assert fleet.entries[0].manager.view.record().epoch > epoch
    fleet.restart(0)
    reclaim(fleet, 1)
    assert not fleet.over_quotas()


def test_an_unused_reserve_is_not_written_with_each_epoch(
    fleet: SimulatedFleet,
) -> None:
    """Guards against appends that hold the quotas of thousands of teams."""
    start_calls(fleet, 0)
    open_reserve(fleet, 0)
    fleet.clock.now += REWRITE_SECONDS + 0.1
    entry = fleet.entries[0]
    pending = entry.manager.plan.next_append(entry.manager.written_at)
    assert pending is not None
    assert not pending.quotas
