"""Holds a cluster's bills against what the stand-ins say ran."""

from typing import Any, NamedTuple

from clementinebend_ledger.outcomes import Billed, BillUnfunded, OverrunDetected
from clementinebend_ledger.replay import BudgetSummary, budget_summary
from clementinebend_records.records import Bill
from tests.lib.cluster_files import BUDGET, MODEL_SERVICE, PLAIN_COST
from tests.lib.clusters import Cluster
from tests.lib.log_readers import ReplayedLedger
from tests.lib.processes import DeadlineError, wait_until

BROKEN_RULES = (BillUnfunded, OverrunDetected)
"""Outcomes of replay that only a broken invariant gives."""


class Books(NamedTuple):
    """``costs`` in tokens by run, as executed; the rest is the ledger's view."""

    costs: dict[str, int]
    bills: tuple[Bill, ...]
    broken: tuple[Any, ...]
    summary: BudgetSummary

    def __repr__(self) -> str:
        """Return the counts; all runs and bills would fill pages."""
        runs, bills = len(self.costs), len(self.bills)
        unbilled = sorted(self.unbilled)
        return f"<{runs} runs, {bills} bills, {unbilled=}, {self.summary}>"

    @property
    def unbilled(self) -> frozenset[str]:
        """Runs that no bill names."""
        return frozenset(self.costs.keys() - {bill.run for bill in self.bills})


async def books_of(cluster: Cluster) -> Books:
    """Return runs and bills as they are now; what holds always is checked."""
    return books_from(await executed_costs(cluster), await cluster.ledger())


def books_from(costs: dict[str, int], ledger: ReplayedLedger) -> Books:
    """Return runs and bills as given; what holds always is checked."""
    billed = [each for each in ledger.outcomes if isinstance(each, Billed)]
    broken = tuple(each for each in ledger.outcomes if isinstance(each, BROKEN_RULES))
    bills = tuple(each.bill for each in billed)
    books = Books(costs, bills, broken, budget_summary(ledger.state, BUDGET))
    check_always(books)
    return books


async def until_balanced(cluster: Cluster, bills: int, unbilled: int = 0) -> Books:
    """Wait for so many bills, and that each names a run that cost as much.

    ``unbilled`` runs are to have no bill: their keys are billed for a later one.
    """
    books = await books_of(cluster)

    async def billed() -> bool:
        nonlocal books
        books = await books_of(cluster)
        return len(books.bills) >= bills and len(books.unbilled) <= unbilled

    try:
        await wait_until(billed, f"{bills} bills, and {unbilled} runs without one")
    except (AssertionError, DeadlineError) as error:
        trail = await audit_trail(cluster, books)
        raise AssertionError(f"{error}; {books}; {trail}") from None
    check_balance(books, bills, unbilled)
    return books


async def audit_trail(cluster: Cluster, books: Books) -> list[str]:
    """Return what is known of runs without a bill, and how often entries lost runs."""
    trail: list[str] = []
    for name, place in cluster.endpoints.items():
        behind = cluster.running[f"{name}-endpoint"]
        if place.service != MODEL_SERVICE or behind.handle.poll() is not None:
            continue
        rows = await cluster.caller(behind.name).get("/ran")
        trail.extend(f"{name}: {row}" for row in rows if row["run"] in books.unbilled)
    for process in cluster.running.values():
        trail.extend(
            f"{process.name}: {line}"
            for line in process.log_text().splitlines()
            if "run lost" in line or any(run in line for run in books.unbilled)
        )
    return trail


async def settled_books(cluster: Cluster) -> Books:
    """Return the books once each run of earlier tests has its bill."""
    books = await books_of(cluster)

    async def settled() -> bool:
        nonlocal books
        books = await books_of(cluster)
        return not books.unbilled

    await wait_until(settled, "all that ran so far is billed")
    return books


async def executed_costs(cluster: Cluster) -> dict[str, int]:
    """Return the tokens of each run that an endpoint executed."""
    costs: dict[str, int] = {}
    for name, place in cluster.endpoints.items():
        behind = cluster.running[f"{name}-endpoint"]
        if behind.handle.poll() is not None:
            continue
        for row in await cluster.caller(behind.name).get("/ran"):
            if place.service == MODEL_SERVICE:
                costs[row["run"]] = row["total_tokens"]
            else:
                costs |= dict.fromkeys(row["runs"], PLAIN_COST)
    return costs


async def executed_calls(cluster: Cluster, service: str = "service-1") -> list[int]:
    """Return how often each call of a plain service was executed."""
    rows = await cluster.caller(f"{service}-endpoint").get("/ran")
    return [row["count"] for row in rows]


def check_always(books: Books) -> None:
    """Check what must hold at any time."""
    keys = [bill.key for bill in books.bills]
    assert len(keys) == len(set(keys)), books.bills
    assert not books.broken, books.broken
    summary = books.summary
    assert summary.shortfall == 0, summary
    committed = summary.billed + summary.held + summary.granted
    assert committed <= summary.topped_up, summary


def check_balance(books: Books, bills: int, unbilled: int) -> None:
    """Check that all that ran is billed, and nothing else."""
    assert len(books.bills) == bills, books
    assert len(books.unbilled) == unbilled, books
    wrong = [
        bill
        for bill in books.bills
        if not bill.held and books.costs.get(bill.run) != bill.amount
    ]
    assert not wrong, (wrong, books.costs)
