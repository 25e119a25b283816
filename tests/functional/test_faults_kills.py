"""Processes are killed in mid-stream: whole answers, one bill, held if unknown."""

from asyncio import gather
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from json import loads

import pytest
import pytest_asyncio

from clementinebend_transport.http_client import OpenAnswer
from tests.lib.books import Books, books_of, check_always, until_balanced
from tests.lib.cluster_files import BUDGET, Plan, host_list
from tests.lib.clusters import Cluster, running_cluster
from tests.lib.processes import wait_until
from tests.lib.questions import (
    Question,
    ask,
    ask_until_whole,
    check_whole,
    is_cut_off,
    questions,
    streaming,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

LONG = 100
"""Tokens of an answer that lasts while something fails."""

STREAMS = 6
PLAN = Plan(engine_args=("--step-ms", "20"), services=0)


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def cluster(tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Cluster]:
    async with running_cluster(tmp_path_factory.mktemp("kills"), PLAN) as started:
        yield started


@pytest_asyncio.fixture(autouse=True, loop_scope="module")
async def all_back(cluster: Cluster) -> AsyncIterator[None]:
    """Start what a test killed again, and wait until entries use it."""
    yield
    for name in cluster.endpoints:
        if cluster.running[name].handle.poll() is not None:
            await cluster.start_sidecar(name)
    for name in cluster.entries:
        if cluster.running[name].handle.poll() is not None:
            await cluster.start_entry(name)
    await list_hosts_without(cluster, "")
    await cluster.until_serving(cluster.entries)


async def list_hosts_without(cluster: Cluster, gone: str) -> None:
    """Let the platform list all hosts but one."""
    entries = (place for name, place in cluster.entries.items() if name != gone)
    listed = host_list(tuple(entries), tuple(cluster.endpoints.values()))
    called = await cluster.caller("hosts").call("PUT", "/hosts", listed)
    assert called.status == 200, called


async def begin(
    stack: AsyncExitStack, cluster: Cluster, entry: str, asked: tuple[Question, ...]
) -> list[OpenAnswer]:
    """Begin a stream for each question."""
    opening = (streaming(cluster, entry, each) for each in asked)
    return [await stack.enter_async_context(each) for each in opening]


async def until_held(cluster: Cluster) -> Books:
    async def held() -> bool:
        return (await books_of(cluster)).summary.held > 0

    await wait_until(held, "an amount is held")
    return await books_of(cluster)


async def test_retries_elsewhere_get_the_streams_of_a_killed_entry(
    cluster: Cluster,
) -> None:
    before = await books_of(cluster)
    asked = questions("entry killed", STREAMS, LONG)
    async with AsyncExitStack() as stack:
        answers = await begin(stack, cluster, "entry-1", asked)
        cluster.processes.kill(cluster.running["entry-1"])
        assert all(await gather(*map(is_cut_off, answers)))
        retried = await gather(*(ask(cluster, "entry-2", each) for each in asked))
    for called, each in zip(retried, asked, strict=True):
        check_whole(called, each)
    total = len(before.bills) + STREAMS
    await until_balanced(cluster, total, len(before.unbilled))


async def test_streams_of_a_killed_sidecar_run_elsewhere_and_bill_once(
    cluster: Cluster,
) -> None:
    before = await books_of(cluster)
    asked = questions("sidecar killed", STREAMS, LONG)
    async with AsyncExitStack() as stack:
        answers = await begin(stack, cluster, "entry-1", asked)
        lost = (await cluster.caller("engine-1-endpoint").get("/load"))["running"]
        cluster.processes.kill(cluster.running["engine-1"])
        cuts = await gather(*map(is_cut_off, answers))
    for each in asked:
        await ask_until_whole(cluster, "entry-2", each)
    total = len(before.bills) + STREAMS
    books = await until_balanced(cluster, total, len(before.unbilled) + lost)
    assert lost and sum(cuts) <= lost
    check_always(books)


async def test_what_an_entry_and_its_sidecar_took_along_stays_held(
    cluster: Cluster,
) -> None:
    before = await books_of(cluster)
    (first, second) = questions("both killed", 2, LONG)
    async with streaming(cluster, "entry-1", first):
        for name in ("entry-1", *cluster.endpoints):
            cluster.processes.kill(cluster.running[name])
    await list_hosts_without(cluster, "entry-1")
    await gather(*map(cluster.start_sidecar, cluster.endpoints))
    books = await until_held(cluster)
    assert len(books.bills) == len(before.bills)
    code, shown = await cluster.operate("budget", "show", BUDGET, "--json")
    (row,) = loads(shown)
    assert code == 0 and row["held"] == books.summary.held == sum(row["holds"].values())
    for each in (first, second):
        await ask_until_whole(cluster, "entry-2", each)
    total = len(before.bills) + 2
    books = await until_balanced(cluster, total, len(before.unbilled) + 1)
    for subject in row["holds"]:
        decided = ("resolve", subject, "--charge", "0", "--budget", BUDGET)
        code, shown = await cluster.operate("budget", *decided)
        assert code == 0, shown
    assert (await books_of(cluster)).summary.held == 0
