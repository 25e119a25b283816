"""Budgets under many callers: never overspent, refusals cost nothing."""

from itertools import cycle, repeat
from pathlib import Path

from tests.lib.books import books_of, until_balanced
from tests.lib.cluster_files import BUDGET, Plan
from tests.lib.clusters import Cluster, running_cluster
from tests.lib.processes import wait_until
from tests.lib.questions import (
    OK,
    PATIENT,
    Question,
    ask,
    ask_all,
    ask_until_whole,
    check_all_answered,
    check_whole,
    questions,
    refusal_of,
)

SMALL = 3_000
CALLERS = 160
TOKENS = 20
TOP_UP = 5_000
SHORT = {"x-deadline-ms": "10000"}
ENTRIES = ("entry-1", "entry-2")
BUDGET_REASONS = {"budget_exhausted", "budget_unavailable"}


async def top_up(cluster: Cluster, name: str, tokens: int) -> None:
    """Publish one more top-up of the budget."""
    declared = cluster.document["budgets"][BUDGET]["top_ups"]
    declared.append({"id": name, "tokens": tokens})
    await cluster.publish()


async def until_topped_up(cluster: Cluster, tokens: int) -> None:
    async def seen() -> bool:
        return (await books_of(cluster)).summary.topped_up == tokens

    await wait_until(seen, f"the ledger has {tokens} tokens")


async def test_a_request_above_the_budget_is_neither_run_nor_billed(
    tmp_path: Path,
) -> None:
    async with running_cluster(tmp_path, Plan(budget_tokens=SMALL)) as cluster:
        large = Question("x" * 2 * SMALL, TOKENS, "large")
        for entry in ENTRIES:
            refused = await ask(cluster, entry, large)
            assert refused is not None and refused.status == 402, refused
            assert refusal_of(refused) == "budget_exhausted"
        (small,) = questions("small", 1, TOKENS)
        check_whole(await ask(cluster, "entry-1", small), small)
        books = await until_balanced(cluster, 1)
        assert books.summary.billed == small.cost
        await top_up(cluster, "second", 10 * SMALL)
        for entry in ENTRIES:
            await ask_until_whole(cluster, entry, large)
        books = await until_balanced(cluster, 2)
        assert books.summary.billed == small.cost + large.cost


async def test_many_callers_of_two_entries_never_overspend_a_small_budget(
    tmp_path: Path,
) -> None:
    async with running_cluster(tmp_path, Plan(budget_tokens=SMALL)) as cluster:
        asked = questions("many", CALLERS, TOKENS)
        answers = await ask_all(cluster, cycle(ENTRIES), asked, SHORT)
        whole = check_all_answered(answers, asked)
        refused = [called for called in answers if called and called.status != OK]
        assert whole and refused
        assert {refusal_of(called) for called in refused} <= BUDGET_REASONS
        books = await until_balanced(cluster, len(whole))
        assert books.summary.billed == sum(each.cost for each in whole) <= SMALL


async def test_a_top_up_on_one_side_of_a_cut_is_never_spent_twice(
    tmp_path: Path,
) -> None:
    async with running_cluster(tmp_path, Plan(budget_tokens=SMALL)) as cluster:
        first = questions("first", 6, TOKENS)
        answers = await ask_all(cluster, cycle(ENTRIES), first)
        assert check_all_answered(answers, first) == first
        await cluster.caller("log").set_faults(cut=["entry-1"])
        await top_up(cluster, "second", TOP_UP)
        await until_topped_up(cluster, SMALL + TOP_UP)
        near = questions("near", CALLERS, TOKENS)
        answers = await ask_all(cluster, repeat("entry-2"), near, SHORT)
        whole = check_all_answered(answers, near)
        assert whole
        cut = questions("cut", CALLERS, TOKENS)
        answers = await ask_all(cluster, repeat("entry-1"), cut, PATIENT)
        whole += check_all_answered(answers, cut)
        await cluster.caller("log").set_faults(cut=[])
        books = await until_balanced(cluster, len(first) + len(whole))
        assert books.summary.billed <= SMALL + TOP_UP
        await top_up(cluster, "third", TOP_UP)
        (late,) = questions("late", 1, TOKENS)
        await ask_until_whole(cluster, "entry-1", late)
        await until_balanced(cluster, len(first) + len(whole) + 1)
