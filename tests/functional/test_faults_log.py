"""The log is down, slow, or loses its answers: served, refused, billed once."""

from collections.abc import AsyncIterator
from itertools import cycle, product, repeat
from pathlib import Path
from uuid import uuid4

import pytest
import pytest_asyncio

from tests.lib.books import executed_calls, settled_books, until_balanced
from tests.lib.cluster_files import Plan
from tests.lib.clusters import Cluster, running_cluster
from tests.lib.http_calls import Called
from tests.lib.processes import wait_until
from tests.lib.questions import (
    OK,
    PATIENT,
    Question,
    ask,
    ask_all,
    ask_until_whole,
    check_all_answered,
    check_honest,
    check_whole,
    questions,
    refusal_of,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

TOKENS = 10
CALLERS = 30
ENTRIES = ("entry-1", "entry-2")
PROMPT_SIZES = (500, 2_000, 20_000, 200_000)
SLOW_MS = 400
LOST = 12


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def shared(tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Cluster]:
    async with running_cluster(tmp_path_factory.mktemp("log")) as started:
        yield started


@pytest_asyncio.fixture(loop_scope="module")
async def cluster(shared: Cluster) -> AsyncIterator[Cluster]:
    """Give the cluster with its log at work, before and after the test."""
    yield shared
    healthy = {"outage": False, "slow_ms": 0, "lose_answers": 0, "cut": []}
    await shared.caller("log").set_faults(**healthy)
    for entry in ENTRIES:
        (probe,) = questions(f"probe {uuid4()}", 1, TOKENS)
        await ask_until_whole(shared, entry, probe)


async def warm_up(cluster: Cluster, name: str) -> int:
    """Have both entries serve; return how many bills there are then."""
    asked = questions(name, 20, TOKENS)
    before = await settled_books(cluster)
    answers = await ask_all(cluster, cycle(ENTRIES), asked)
    assert check_all_answered(answers, asked) == asked
    total = len(before.bills) + len(asked)
    await until_balanced(cluster, total)
    return total


async def lost_answers(cluster: Cluster) -> int:
    """Return how many answers the log has lost so far."""
    return int((await cluster.caller("log").get("/stats")).get("lost_answers", 0))


async def book_until_run(cluster: Cluster, entry: str) -> Called:
    """Repeat a booking while it is refused as not run; return its answer."""
    answers: list[Called] = []

    async def whole() -> bool:
        answers.append(await cluster.book(entry, "lost answers", b"site 1"))
        return answers[-1].status == OK or not refusal_of(answers[-1])

    await wait_until(whole, "the call is claimed")
    return answers[-1]


async def test_an_outage_is_served_from_grants_and_then_refused_at_once(
    cluster: Cluster,
) -> None:
    total = await warm_up(cluster, "before the outage")
    await cluster.caller("log").set_faults(outage=True)
    asked = questions("in the outage", len(ENTRIES), TOKENS)
    answers = await ask_all(cluster, ENTRIES, asked, PATIENT)
    assert check_all_answered(answers, asked) == asked
    for entry, size in product(ENTRIES, PROMPT_SIZES):
        large = Question("x" * size, TOKENS, f"{entry}-{size}")
        answer = await ask(cluster, entry, large, PATIENT)
        total += check_honest(answer, large)
    assert answer is not None and answer.status == 503, answer
    assert refusal_of(answer) == "budget_unavailable"
    total += len(asked)
    await cluster.caller("log").set_faults(outage=False)
    await until_balanced(cluster, total)
    (late,) = questions("after the outage", 1, TOKENS)
    await ask_until_whole(cluster, "entry-1", late)
    await until_balanced(cluster, total + 1)


async def test_many_callers_in_an_outage_are_served_or_refused_at_once(
    cluster: Cluster,
) -> None:
    total = await warm_up(cluster, "before the crowd")
    await cluster.caller("log").set_faults(outage=True)
    asked = questions("crowd", 10 * CALLERS, TOKENS)
    answers = await ask_all(cluster, cycle(ENTRIES), asked, PATIENT)
    total += len(check_all_answered(answers, asked))
    await cluster.caller("log").set_faults(outage=False)
    await until_balanced(cluster, total)


async def test_late_in_an_outage_peers_lend_what_is_of_use(tmp_path: Path) -> None:
    async with running_cluster(tmp_path, Plan(services=0)) as fleet:
        warm = questions("warm", 20, TOKENS)
        answers = await ask_all(fleet, repeat("entry-1"), warm)
        assert check_all_answered(answers, warm) == warm
        await until_balanced(fleet, len(warm))
        await fleet.caller("log").set_faults(outage=True)
        large = [Question("x" * 200_000, TOKENS, entry) for entry in ENTRIES]
        for called in await ask_all(fleet, ENTRIES, large, PATIENT):
            assert called is not None
            assert refusal_of(called) == "budget_unavailable"
        small = questions("small", 6, TOKENS)
        for entry, each in zip(cycle(ENTRIES), small, strict=False):
            check_whole(await ask(fleet, entry, each, PATIENT), each)
        await fleet.caller("log").set_faults(outage=False)
        await until_balanced(fleet, len(warm) + len(small))


async def test_lost_answers_of_the_log_double_nothing(cluster: Cluster) -> None:
    before = await settled_books(cluster)
    lost = await lost_answers(cluster)
    await cluster.caller("log").set_faults(lose_answers=LOST)
    asked = questions("lost", CALLERS, TOKENS)
    answers = await ask_all(cluster, cycle(ENTRIES), asked)
    assert check_all_answered(answers, asked) == asked
    booked = [await book_until_run(cluster, entry) for entry in ENTRIES]
    assert booked[0].body == booked[1].body
    assert await executed_calls(cluster) == [1]
    more = 0
    while await lost_answers(cluster) < lost + LOST:
        (probe,) = questions(f"more {more}", 1, TOKENS)
        await ask_until_whole(cluster, "entry-1", probe)
        more += 1
    await until_balanced(cluster, len(before.bills) + CALLERS + 1 + more)


async def test_a_slow_log_delays_bills_and_refuses_nobody(cluster: Cluster) -> None:
    total = await warm_up(cluster, "before the slowness")
    await cluster.caller("log").set_faults(slow_ms=SLOW_MS)
    asked = questions("slow", CALLERS, TOKENS)
    answers = await ask_all(cluster, cycle(ENTRIES), asked)
    assert check_all_answered(answers, asked) == asked
    await cluster.caller("log").set_faults(slow_ms=0)
    await until_balanced(cluster, total + CALLERS)


async def test_an_entry_cut_off_from_the_log_loses_no_bill(cluster: Cluster) -> None:
    total = await warm_up(cluster, "before the cut")
    await cluster.caller("log").set_faults(cut=["entry-1"])
    asked = questions("behind the cut", CALLERS, TOKENS)
    answers = await ask_all(cluster, cycle(ENTRIES), asked, PATIENT)
    total += len(check_all_answered(answers, asked))
    check_whole(answers[0], asked[0])
    refused = await cluster.book("entry-1", "behind the cut", b"site 2")
    assert refused.status == 503
    assert refusal_of(refused) == "log_unavailable"
    await cluster.caller("log").set_faults(cut=[])
    await until_balanced(cluster, total)
