"""Engines that truncate, refuse or die: a part is never passed on as whole."""

from collections.abc import AsyncIterator
from itertools import repeat
from pathlib import Path

import pytest
import pytest_asyncio

from tests.lib.books import books_of, executed_costs, until_balanced
from tests.lib.cluster_files import Plan
from tests.lib.clusters import Cluster, chat, running_cluster
from tests.lib.http_calls import Called
from tests.lib.processes import wait_until
from tests.lib.questions import (
    ask,
    ask_all,
    ask_until_whole,
    check_all_answered,
    check_whole,
    is_cut_off,
    questions,
    refusal_of,
    streaming,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

TOKENS = 24
ENGINES = ("engine-1-endpoint", "engine-2-endpoint")
ALWAYS = 1_000
FOR_A_RETRY = 30
PLAN = Plan(services=0)
HEALTHY = {"truncate": 0, "reject": 0, "die_after_chunks": 0, "hang": False}


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def cluster(tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Cluster]:
    async with running_cluster(tmp_path_factory.mktemp("engine"), PLAN) as started:
        yield started


@pytest_asyncio.fixture(autouse=True, loop_scope="module")
async def all_healthy(cluster: Cluster) -> AsyncIterator[None]:
    yield
    await set_all(cluster, **HEALTHY)


async def set_all(cluster: Cluster, **faults: object) -> None:
    """Switch faults of all engines."""
    for name in ENGINES:
        await cluster.caller(name).set_faults(**faults)


async def test_a_truncated_stream_is_cut_off_and_its_retry_is_whole(
    cluster: Cluster,
) -> None:
    before = await books_of(cluster)
    (asked,) = questions("truncated", 1, TOKENS)
    await set_all(cluster, truncate=ALWAYS)
    async with streaming(cluster, "entry-1", asked) as answer:
        assert await is_cut_off(answer)
    await set_all(cluster, truncate=0)
    await ask_until_whole(cluster, "entry-2", asked)
    ran = len(await executed_costs(cluster)) - len(before.costs)
    unbilled = len(before.unbilled) + ran - 1
    await until_balanced(cluster, len(before.bills) + 1, unbilled)


async def test_an_answer_truncated_everywhere_is_told_as_failed_and_billed_once(
    cluster: Cluster,
) -> None:
    before = await books_of(cluster)
    await set_all(cluster, truncate=ALWAYS)
    asked = chat("everywhere", TOKENS, stream=False)
    failed = await cluster.ask("entry-1", asked, {"idempotency-key": "everywhere"})
    assert failed.status == 502, failed
    assert failed.json()["error"]["type"] == "ran_and_failed"
    ran = len(await executed_costs(cluster)) - len(before.costs)
    unbilled = len(before.unbilled) + ran - 1
    await until_balanced(cluster, len(before.bills) + 1, unbilled)


async def test_one_truncated_answer_is_replaced_by_a_whole_one(
    cluster: Cluster,
) -> None:
    start = await books_of(cluster)
    warm = questions("fills the retry budget", FOR_A_RETRY, TOKENS)
    answers = await ask_all(cluster, repeat("entry-1"), warm)
    assert check_all_answered(answers, warm) == warm
    before = await until_balanced(
        cluster, len(start.bills) + len(warm), len(start.unbilled)
    )
    await cluster.caller(ENGINES[0]).set_faults(truncate=1)
    told: list[Called] = []
    while (await cluster.caller(ENGINES[0]).get("/faults"))["truncate"]:
        plain = chat(f"once {len(told)}", TOKENS, stream=False)
        told.append(await cluster.ask("entry-1", plain, {}))
    assert {answer.status for answer in told} == {200}, told
    total = len(before.bills) + len(told)
    await until_balanced(cluster, total, len(before.unbilled) + 1)


async def test_what_all_engines_refuse_is_not_run(cluster: Cluster) -> None:
    before = await books_of(cluster)
    (asked,) = questions("refused", 1, TOKENS)
    await set_all(cluster, reject=ALWAYS)
    refused = await ask(cluster, "entry-1", asked)
    assert refused is not None
    assert refusal_of(refused) in ("not_ready", "no_endpoint")
    assert await executed_costs(cluster) == before.costs
    await set_all(cluster, reject=0)
    await ask_until_whole(cluster, "entry-1", asked)
    await until_balanced(cluster, len(before.bills) + 1, len(before.unbilled))


async def test_a_request_outlives_its_engine_and_is_billed_once(
    tmp_path: Path,
) -> None:
    async with running_cluster(tmp_path, PLAN) as fleet:
        asked = questions("dying", 8, TOKENS)
        await fleet.caller(ENGINES[0]).set_faults(die_after_chunks=3)
        for each in asked:
            await ask_until_whole(fleet, "entry-1", each)
        dead = fleet.running[ENGINES[0]]

        async def died() -> bool:
            return dead.handle.poll() is not None

        await wait_until(died, "an engine has died")
        check_whole(await ask(fleet, "entry-2", asked[0]), asked[0])

        async def all_billed() -> bool:
            return len((await books_of(fleet)).bills) == len(asked)

        await wait_until(all_billed, "each request is billed")
        books = await books_of(fleet)
        billed = sorted(bill.amount for bill in books.bills)
        assert billed == [each.cost for each in asked], books
