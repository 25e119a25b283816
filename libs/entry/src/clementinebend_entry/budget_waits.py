"""Decides whether a request without a grant waits or is refused; no I/O.

Near the end of a budget, most of it is reserved at the upper bounds of the runs
in progress rather than spent. A request therefore waits while enough tokens may
still become free through settlements, grants that others hold, or declared
top-ups.
"""

from asyncio import Future
from typing import NamedTuple

from clementinebend_entry.outcomes import Refusal
from clementinebend_ledger.holder import HolderState, wait_hint
from clementinebend_ledger.replay import BudgetSummary
from clementinebend_records.identifiers import GrantId, Incarnation, RunId
from clementinebend_records.reasons import NotRunReason

EXHAUSTED_RETRY_MS = 60_000
"""Long, as only a top-up helps and operators make top-ups by hand."""

BUSY_RETRY_MS = 1_000
SHORTEST_OUTAGE_RETRY_MS = 1_000
LONGEST_OUTAGE_RETRY_MS = 30_000
MILLISECONDS = 1000
BUSY_STATUS = 429
MAX_LOG_OUTAGE_S = 1.0
"""Log outage, in seconds, after which requests that need the log are refused."""

PEERS_TIMEOUT_S = 1.0
"""How long to wait for peers' transfers during a log outage, in seconds."""


class Reservation(NamedTuple):
    """Tokens reserved for a run from one grant of one holder."""

    run: RunId
    budget: str
    grant: GrantId
    holder: Incarnation
    amount: int


class Waiter(NamedTuple):
    """A request that needs ``amount`` tokens by ``deadline`` (loop seconds).

    ``since`` is when it started to wait (loop seconds). ``has_asked_peers`` is set
    once peers were asked to transfer a part of their grants.
    """

    run: RunId
    budget: str
    amount: int
    deadline: float
    reply: "Future[Reservation | Refusal]"
    since: float = 0.0
    has_asked_peers: bool = False


class BudgetView(NamedTuple):
    """State of a budget and of the log that a refusal decision is based on.

    ``declared`` is the sum of declared top-ups that the ledger does not have yet;
    ``failing_for`` is how long the log has not answered, in seconds.
    ``release_expected`` is set if this entry will likely have enough in time.
    """

    summary: BudgetSummary
    declared: int
    failing_for: float
    release_expected: bool


def refusal_of_waiter(waiter: Waiter, view: BudgetView, now: float) -> Refusal | None:
    """Return the refusal of a request, or None while it should wait."""
    if view.release_expected and now < waiter.deadline:
        return None
    has_waited = now >= min(waiter.deadline, waiter.since + PEERS_TIMEOUT_S)
    has_no_lender = waiter.has_asked_peers or has_waited
    if view.failing_for > MAX_LOG_OUTAGE_S and has_no_lender:
        message = "no grant is at hand and the platform's log cannot be reached"
        retry_ms = outage_retry_ms(view.failing_for)
        return Refusal(NotRunReason.BUDGET_UNAVAILABLE, retry_ms, message)
    if waiter.amount > remaining(view):
        return Refusal(NotRunReason.BUDGET_EXHAUSTED, EXHAUSTED_RETRY_MS)
    if now >= waiter.deadline:
        return budget_busy_refusal()
    return None


def budget_busy_refusal() -> Refusal:
    """Return the refusal of a request whose deadline passed while it waited."""
    message = "all of the budget that remains is reserved"
    return Refusal(NotRunReason.BUDGET_UNAVAILABLE, BUSY_RETRY_MS, message, BUSY_STATUS)


def is_release_expected(
    holder: HolderState, waiter: Waiter, is_log_failing: bool, now: float
) -> bool:
    """Return whether enough tokens will likely become free before the deadline.

    During a log outage, only the grants that this entry already holds count.
    """
    can_ask = not is_log_failing
    hint = wait_hint(holder, waiter.budget, waiter.amount, now, can_ask)
    return hint.worth_waiting and now + hint.seconds < waiter.deadline


def outage_retry_ms(failing_for: float) -> int:
    """Return the retry delay for a log that has failed for ``failing_for`` seconds.

    An outage of unknown length is expected to last as long again.
    """
    wanted = int(failing_for * MILLISECONDS)
    return min(LONGEST_OUTAGE_RETRY_MS, max(SHORTEST_OUTAGE_RETRY_MS, wanted))


def remaining(view: BudgetView) -> int:
    """Return the most tokens that can become free without another top-up."""
    summary = view.summary
    spent = summary.billed + summary.held + summary.shortfall
    return summary.topped_up + view.declared - spent
