"""What one holder hands to another, without the store. Pure.

The giver counts a part as spent before the message leaves, so a lost message
loses tokens and never doubles them.
"""

from typing import NamedTuple

from clementinebend_ledger.quota_account import QuotaAccount

RETAINED_SECONDS = 0.05
"""Seconds of its own demand that a holder keeps when it is asked."""

MAX_TRANSFER_SHARE = 0.9
"""Largest part of what it could spare that a holder gives at one time."""

EXTRA_REQUEST_SECONDS = 0.5
"""Seconds of demand that a holder asks for beside the call at hand."""


class TokenRequest(NamedTuple):
    """What to ask for, in tokens."""

    amount: int


def token_request(account: QuotaAccount, least: int, now: float) -> TokenRequest:
    """Return what a holder that lacks ``least`` tokens should ask for."""
    return TokenRequest(least + int(EXTRA_REQUEST_SECONDS * account.rate(now)))


def transferable_amount(account: QuotaAccount, asked: TokenRequest, now: float) -> int:
    """Return what this holder hands over.

    A part too small for the call at hand is of use, too: several holders are
    asked at once.
    """
    spare = account.free - int(RETAINED_SECONDS * account.rate(now)) - account.waiting
    return max(0, min(asked.amount, int(spare * MAX_TRANSFER_SHARE)))
