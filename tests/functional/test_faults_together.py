"""Failures that come together or twice: billed once, answered whole, honest."""

from asyncio import gather
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from tests.lib.books import books_of, settled_books, until_balanced
from tests.lib.cluster_files import Plan, host_list
from tests.lib.clusters import Cluster, running_cluster
from tests.lib.http_calls import Called
from tests.lib.processes import wait_until
from tests.lib.questions import (
    OK,
    ask,
    ask_until_whole,
    check_whole,
    is_cut_off,
    questions,
    refusal_of,
    streaming,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

LONG = 100
TOKENS = 8
PLAN = Plan(engine_args=("--step-ms", "20"))


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def cluster(tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Cluster]:
    async with running_cluster(tmp_path_factory.mktemp("together"), PLAN) as started:
        yield started


@pytest_asyncio.fixture(autouse=True, loop_scope="module")
async def all_back(cluster: Cluster) -> AsyncIterator[None]:
    yield
    await cluster.caller("log").set_faults(outage=False, slow_ms=0, lose_answers=0)
    for name in cluster.endpoints:
        if cluster.running[name].handle.poll() is not None:
            await cluster.start_sidecar(name)
    for name in cluster.entries:
        if cluster.running[name].handle.poll() is not None:
            await cluster.start_entry(name)
    await cluster.list_hosts()
    await cluster.until_serving(cluster.entries)


async def test_an_entry_killed_in_an_outage_leaves_its_bills_to_others(
    cluster: Cluster,
) -> None:
    before = await settled_books(cluster)
    warm = questions("warm", 4, LONG)
    for each in warm:
        check_whole(await ask(cluster, "entry-1", each), each)
    await until_balanced(cluster, len(before.bills) + len(warm))
    (asked, alone) = questions("in an outage", 2, LONG)
    async with (
        streaming(cluster, "entry-1", asked) as first,
        streaming(cluster, "entry-1", alone) as second,
    ):
        await cluster.caller("log").set_faults(outage=True)
        cluster.processes.kill(cluster.running["entry-1"])
        assert all(await gather(is_cut_off(first), is_cut_off(second)))
        check_whole(await ask(cluster, "entry-2", asked), asked)
    await cluster.start_entry("entry-1")
    (late,) = questions("cold", 1, TOKENS)
    refused = await ask(cluster, "entry-1", late)
    assert refused is not None and refusal_of(refused) == "not_ready"
    await cluster.caller("log").set_faults(outage=False)
    await cluster.until_serving(cluster.entries)
    total = len(before.bills) + len(warm) + 2
    books = await until_balanced(cluster, total)
    assert books.summary.held == 0


async def test_a_key_whose_entries_are_killed_one_after_the_other(
    cluster: Cluster,
) -> None:
    before = await settled_books(cluster)
    (asked,) = questions("twice", 1, 2 * LONG)
    for entry in cluster.entries:
        async with streaming(cluster, entry, asked) as answer:
            cluster.processes.kill(cluster.running[entry])
            assert await is_cut_off(answer)
    await gather(*map(cluster.start_entry, cluster.entries))
    await cluster.until_serving(cluster.entries)
    await gather(*(ask_until_whole(cluster, each, asked) for each in cluster.entries))
    after = len((await books_of(cluster)).costs)
    await until_balanced(cluster, len(before.bills) + 1, after - len(before.costs) - 1)


async def test_a_booking_whose_entry_and_sidecar_die_is_not_run_again(
    cluster: Cluster,
) -> None:
    service = cluster.caller("service-1-endpoint")
    await service.set_faults(hang=True)
    calls = len(await service.get("/ran"))
    bearing = gather(cluster.book("entry-1", "both", b"1"), return_exceptions=True)

    async def executed() -> bool:
        return len(await service.get("/ran")) > calls

    await wait_until(executed, "the booking is executed")
    for name in ("entry-1", "service-1"):
        cluster.processes.kill(cluster.running[name])
    await bearing
    await service.set_faults(hang=False)
    await cluster.start_sidecar("service-1")
    told = [await cluster.book("entry-2", "both", b"1") for _ in range(3)]
    await cluster.start_entry("entry-1")
    await cluster.until_serving(cluster.entries)
    told += [await cluster.book(entry, "both", b"1") for entry in cluster.entries]
    assert {kind_of(answer) for answer in told} == {"outcome_unknown"}, told
    rows = await service.get("/ran")
    assert [row["count"] for row in rows] == [1] * (calls + 1)
    await until_held(cluster)


async def until_held(cluster: Cluster) -> None:
    """Wait until the cost that nobody can prove is held."""
    others = (cluster.entries["entry-2"],)
    listed = host_list(others, tuple(cluster.endpoints.values()))
    await cluster.caller("hosts").call("PUT", "/hosts", listed)

    async def held() -> bool:
        return (await books_of(cluster)).summary.held > 0

    await wait_until(held, "the booking's reservation is held")


def kind_of(called: Called) -> str:
    if called.status == OK:
        return "whole_answer"
    return str(called.json()["error"]["type"])
