"""Requests for tokens between holders, without the store. Pure.

The giver counts tokens as spent before it sends its message, so a lost message loses
tokens and never duplicates them.
"""

from typing import NamedTuple

from clementinebend_ledger.quota_account import QuotaAccount
from clementinebend_ledger.quota_sizing import MAX_BUDGET_FRACTION

RETAINED_SECONDS = 0.05
"""Seconds of its own demand that a holder retains when others request tokens."""

MAX_TRANSFER_SHARE = 0.9
"""Maximum fraction of its spare tokens that a holder transfers at one time."""

EXTRA_REQUEST_SECONDS = 0.5
"""Seconds of demand that a holder requests in addition to the current call."""


class TokenRequest(NamedTuple):
    """The number of tokens requested."""

    amount: int


def token_request(
    account: QuotaAccount, least: int, prepaid: int, now: float
) -> TokenRequest:
    """Return the request of a holder that lacks ``least`` tokens of ``prepaid``."""
    extra = EXTRA_REQUEST_SECONDS * account.rate(now)
    return TokenRequest(least + int(min(extra, MAX_BUDGET_FRACTION * prepaid)))


def transferable_amount(account: QuotaAccount, asked: TokenRequest, now: float) -> int:
    """Return how many of the requested tokens this holder can transfer.

    An amount too small for the requester's call is useful too, as several holders are
    asked at once.
    """
    spare = account.free - int(RETAINED_SECONDS * account.rate(now)) - account.waiting
    return max(0, min(asked.amount, int(spare * MAX_TRANSFER_SHARE)))
