"""Tests of the rates with which a new home of a budget starts."""

from clementinebend_ledger.quota_account import QuotaAccount
from clementinebend_ledger.quotas import (
    Quota,
    QuotaBook,
    QuotaKey,
    empty_book,
    max_recent_rate,
    put_quota,
)

TEAM = "desk"


def book_with_rates(*rates: int) -> QuotaBook:
    """Return a book with a quota of another holder for each rate, oldest first."""
    book = empty_book()
    for number, rate in enumerate(rates):
        key = QuotaKey(TEAM, f"entry-{number}#1@0")
        put_quota(book, key, Quota(100, 50, 10, rate), number)
    return book


def test_max_recent_rate_ignores_older_marks() -> None:
    book = book_with_rates(90_000, 40_000, 300, 200)
    assert max_recent_rate(book, TEAM, "entry-9#1@0") == 40_000


def test_max_recent_rate_ignores_own_mark_and_other_teams() -> None:
    book = book_with_rates(500, 40_000)
    assert max_recent_rate(book, TEAM, "entry-1#1@0") == 500
    assert max_recent_rate(book, "other", "entry-1#1@0") == 0


def test_raised_rates_decay_and_are_never_lowered() -> None:
    account = QuotaAccount(0.0)
    account.raise_rates(40_000, 0.0)
    assert account.peak_rate(0.0) == 40_000
    assert account.peak_rate(30.0) < 1_500
    account.record_demand(8_000, 30.0)
    account.raise_rates(10, 30.0)
    assert account.rate(30.0) > 1_000
