"""Planned stops under load: nothing is cut off, nothing new comes, exit code 0."""

from asyncio import Task, create_task, gather, sleep
from collections.abc import AsyncIterator
from itertools import count, cycle
from typing import Any

import pytest
import pytest_asyncio

from tests.lib.books import books_of, until_balanced
from tests.lib.cluster_files import Plan
from tests.lib.clusters import Cluster, running_cluster
from tests.lib.processes import wait_until
from tests.lib.questions import (
    Question,
    ask,
    check_honest,
    is_cut_off,
    questions,
    streaming,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

TOKENS = 12
LONG = 60
CALLERS = 6
REFUSED_PAUSE_S = 0.02
ENDPOINT = "engine-2"
PLAN = Plan(services=0, engines=3, engine_args=("--step-ms", "20"))


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def cluster(tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Cluster]:
    async with running_cluster(tmp_path_factory.mktemp("leaving"), PLAN) as started:
        yield started


class Load:
    """Callers that ask one question after another until they are told to stop."""

    def __init__(self, cluster: Cluster, entries: tuple[str, ...], name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.numbers = count()
        self.whole: list[Question] = []
        self.refused = 0
        self.is_over = False
        self.tasks: list[Task[None]] = [
            create_task(self.keep_asking(entry))
            for entry, _ in zip(cycle(entries), range(CALLERS), strict=False)
        ]

    async def keep_asking(self, entry: str) -> None:
        while not self.is_over:
            (question,) = questions(f"{self.name} {next(self.numbers)}", 1, TOKENS)
            if check_honest(await ask(self.cluster, entry, question), question):
                self.whole.append(question)
            else:
                self.refused += 1
                await sleep(REFUSED_PAUSE_S)

    async def until_more(self, number: int) -> None:
        """Wait until so many more answers have come."""
        wanted = len(self.whole) + number

        async def more() -> bool:
            failed = [task for task in self.tasks if task.done()]
            await gather(*failed)
            return len(self.whole) >= wanted

        await wait_until(more, f"{number} more answers have come")

    async def end(self) -> None:
        """Let each caller get its last answer."""
        self.is_over = True
        await gather(*self.tasks)


async def runs_at(cluster: Cluster, endpoint: str) -> list[Any]:
    runs: list[Any] = await cluster.caller(f"{endpoint}-endpoint").get("/ran")
    return runs


async def test_a_drained_endpoint_ends_its_work_and_gets_no_more(
    cluster: Cluster,
) -> None:
    before = await books_of(cluster)
    load = Load(cluster, ("entry-1", "entry-2"), "drain")
    await load.until_more(2 * CALLERS)
    code, output = await cluster.operate("drain", ENDPOINT)
    assert code == 0, output
    sidecar = cluster.running[ENDPOINT]
    assert await cluster.processes.exit_code(sidecar) == 0
    runs = await runs_at(cluster, ENDPOINT)
    assert {run["status"] for run in runs} <= {"finished"}, runs
    await load.until_more(2 * CALLERS)
    await load.end()
    assert len(await runs_at(cluster, ENDPOINT)) == len(runs)
    total = len(before.bills) + len(load.whole)
    await until_balanced(cluster, total, len(before.unbilled))
    code, output = await cluster.operate("drain", ENDPOINT, "--undo")
    assert code == 0, output
    await cluster.start_sidecar(ENDPOINT)


async def test_a_sidecar_told_to_stop_cuts_nothing_off(cluster: Cluster) -> None:
    before = await books_of(cluster)
    load = Load(cluster, ("entry-1", "entry-2"), "sidecar")
    await load.until_more(2 * CALLERS)
    stopped = cluster.processes.terminate(cluster.running["engine-1"])
    assert await stopped == 0
    await load.until_more(CALLERS)
    await load.end()
    total = len(before.bills) + len(load.whole)
    await until_balanced(cluster, total, len(before.unbilled))
    await cluster.start_sidecar("engine-1")


async def test_an_entry_told_to_stop_ends_its_streams_and_bills_them(
    cluster: Cluster,
) -> None:
    before = await books_of(cluster)
    load = Load(cluster, ("entry-2",), "entry")
    (first, second) = questions("ends whole", 2, LONG)
    async with (
        streaming(cluster, "entry-1", first) as one,
        streaming(cluster, "entry-1", second) as two,
    ):
        entry = cluster.running["entry-1"]
        cluster.processes.request_stop(entry)
        assert not any(await gather(is_cut_off(one), is_cut_off(two)))
    assert await cluster.processes.exit_code(entry) == 0
    assert "Traceback" not in entry.log_text()
    await load.until_more(CALLERS)
    await load.end()
    total = len(before.bills) + len(load.whole) + 2
    await until_balanced(cluster, total, len(before.unbilled))
    await cluster.start_entry("entry-1")
    await cluster.until_serving(["entry-1"])
