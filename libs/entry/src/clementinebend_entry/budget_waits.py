"""Whether a request that found no grant waits or is refused; pure.

Near the end of a budget the upper bounds of runs in progress, not their
costs, are what fills it. So a request waits while something may still free
enough: settlements, grants that others hold, top-ups that are declared.
"""

from asyncio import Future
from typing import NamedTuple

from clementinebend_entry.outcomes import Refusal
from clementinebend_ledger.holder import HolderState, wait_hint
from clementinebend_ledger.replay import BudgetSummary
from clementinebend_records.identifiers import GrantId, Incarnation, RunId
from clementinebend_records.reasons import NotRun

EXHAUSTED_RETRY_MS = 60_000
"""Only a top-up helps, and operators make those by hand."""

BUSY_RETRY_MS = 1_000
SHORTEST_OUTAGE_RETRY_MS = 1_000
LONGEST_OUTAGE_RETRY_MS = 30_000
MILLISECONDS = 1000
BUSY_STATUS = 429
MAX_LOG_OUTAGE_S = 1.0
"""How long the log may fail before requests that need it are refused."""

PEERS_TIMEOUT_S = 1.0
"""How long peers may take to say what they lend while the log fails."""


class Reservation(NamedTuple):
    """Tokens set aside for a run: part of one grant of one holder."""

    run: RunId
    budget: str
    grant: GrantId
    holder: Incarnation
    amount: int


class Waiter(NamedTuple):
    """A request that needs ``amount`` tokens by ``deadline`` (loop seconds).

    It waits ``since`` then; ``has_asked`` says that peers were asked for a part
    of their grants.
    """

    run: RunId
    budget: str
    amount: int
    deadline: float
    reply: "Future[Reservation | Refusal]"
    since: float = 0.0
    has_asked_peers: bool = False


class BudgetView(NamedTuple):
    """What is known of a budget and of the log when a waiter is judged.

    ``declared`` are tokens of top-ups that the ledger does not have yet;
    ``failing_for`` is how long the log has not answered, in seconds.
    ``settling`` says that own runs in progress will likely free enough.
    """

    summary: BudgetSummary
    declared: int
    failing_for: float
    release_expected: bool


def refusal_of_waiter(waiter: Waiter, view: BudgetView, now: float) -> Refusal | None:
    """Return why a request is given up on, or None while it is to wait."""
    if view.release_expected and now < waiter.deadline:
        return None
    has_waited = now >= min(waiter.deadline, waiter.since + PEERS_TIMEOUT_S)
    has_no_lender = waiter.has_asked_peers or has_waited
    if view.failing_for > MAX_LOG_OUTAGE_S and has_no_lender:
        message = "no grant is at hand and the platform's log cannot be reached"
        retry_ms = outage_retry_ms(view.failing_for)
        return Refusal(NotRun.BUDGET_UNAVAILABLE, retry_ms, message)
    if waiter.amount > remaining(view):
        return Refusal(NotRun.BUDGET_EXHAUSTED, EXHAUSTED_RETRY_MS)
    if now >= waiter.deadline:
        return budget_busy_refusal()
    return None


def budget_busy_refusal() -> Refusal:
    """Return the refusal of a request that waited in vain for a settlement."""
    message = "all of the budget that remains is reserved"
    return Refusal(NotRun.BUDGET_UNAVAILABLE, BUSY_RETRY_MS, message, BUSY_STATUS)


def is_release_expected(
    holder: HolderState, waiter: Waiter, is_log_failing: bool, now: float
) -> bool:
    """Return whether what is under way will likely be enough in time.

    While the log does not answer, only a grant that this entry holds counts.
    """
    can_ask = not is_log_failing
    hint = wait_hint(holder, waiter.budget, waiter.amount, now, can_ask)
    return hint.worth_waiting and now + hint.seconds < waiter.deadline


def outage_retry_ms(failing_for: float) -> int:
    """Return when to come back to a log that has failed for so many seconds.

    An outage of unknown length is likely to last as long again.
    """
    wanted = int(failing_for * MILLISECONDS)
    return min(LONGEST_OUTAGE_RETRY_MS, max(SHORTEST_OUTAGE_RETRY_MS, wanted))


def remaining(view: BudgetView) -> int:
    """Return the most that could ever become free without a new top-up."""
    summary = view.summary
    spent = summary.billed + summary.held + summary.shortfall
    return summary.topped_up + view.declared - spent
