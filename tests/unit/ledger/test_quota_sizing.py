"""How large a holder's quota is beside calls that need much of a budget."""

import pytest

from clementinebend_ledger.quota_account import QuotaAccount
from clementinebend_ledger.quota_requests import token_request
from clementinebend_ledger.quota_sizing import QuotaSize, borrow_target, size_quota
from clementinebend_ledger.quotas import Quota

PREPAID = 1_000_000
SPENT = 200_000
LEFT = PREPAID - SPENT
OWN = Quota(SPENT, SPENT, SPENT, 0)
NOW = 10.0
CALL_TOKENS = 5_000
RESERVE = 12_500
"""The most that is kept in reserve, or borrowed ahead of calls: 1.25 % of all."""


def account(calls: int = 0) -> QuotaAccount:
    """Return an account that has spent a part, with a demand of so many calls."""
    made = QuotaAccount(NOW)
    made.spent = SPENT
    for _ in range(calls):
        made.record_demand(CALL_TOKENS, NOW)
    return made


def size(of: QuotaAccount, is_home: bool = True) -> QuotaSize:
    """Return the quota of the only holder of the budget."""
    return size_quota(of, OWN, {}, frozenset(), PREPAID, is_home, 0.005, NOW)


@pytest.mark.parametrize("is_home", [True, False])
@pytest.mark.parametrize(("amount", "is_served"), [(LEFT, True), (LEFT + 1, False)])
def test_a_call_raises_the_quota_only_if_the_rest_covers_it(
    is_home: bool, amount: int, is_served: bool
) -> None:
    """Guards against a quota of the whole rest for a call that cannot be served."""
    holder = account()
    holder.start_waiting(amount)
    assert (size(holder, is_home).unwitnessed >= SPENT + LEFT) == is_served
    holder.stop_waiting(amount)
    assert holder.waiting == 0
    assert size(holder, is_home).unwitnessed < SPENT + RESERVE


@pytest.mark.parametrize(("amount", "is_met"), [(LEFT, True), (LEFT + 1, False)])
def test_a_request_raises_the_quota_of_a_home_only_if_the_rest_covers_it(
    amount: int, is_met: bool
) -> None:
    holder = account()
    holder.ask((amount, 100), NOW)
    assert (size(holder).unwitnessed >= SPENT + LEFT) == is_met
    assert size(holder).unwitnessed >= SPENT + 100


def test_expected_calls_take_a_tenth_of_the_rest_at_most() -> None:
    """Guards against a forecast that is lost with its home."""
    assert size(account(calls=1_000)).unwitnessed == SPENT + LEFT // 10


def test_little_is_borrowed_ahead_of_calls() -> None:
    """Guards against tokens that lie idle at entries that end."""
    assert borrow_target(account(calls=1_000), PREPAID, NOW) == RESERVE
    assert token_request(account(calls=1_000), 7, PREPAID, NOW).amount == RESERVE + 7
