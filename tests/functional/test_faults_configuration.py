"""Racing operators, cold starts without a log, and a half-upgraded fleet."""

from asyncio import create_task, gather
from collections.abc import AsyncIterator
from copy import deepcopy
from json import loads
from pathlib import Path
from typing import Any

import pytest
import pytest_asyncio

from tests.lib.books import books_of, settled_books, until_balanced
from tests.lib.cluster_files import Plan, entry_settings, write_yaml
from tests.lib.clusters import Cluster, running_cluster
from tests.lib.processes import wait_until
from tests.lib.questions import (
    ask_until_whole,
    is_cut_off,
    questions,
    refusal_of,
    streaming,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

CONFLICT = 3
RACERS = 4
LONG = 100
TOKENS = 8
REVISION = "clementinebend_entry_revision "
PLAN = Plan(services=0, engine_args=("--step-ms", "20"))


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def cluster(tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Cluster]:
    async with running_cluster(tmp_path_factory.mktemp("publish"), PLAN) as started:
        yield started


async def revision_of(cluster: Cluster, entry: str) -> int:
    """Return the revision that an entry has in force."""
    called = await cluster.caller(entry).call("GET", "/metrics")
    lines = called.body.decode().splitlines()
    return int(float(next(each for each in lines if each.startswith(REVISION))[29:]))


async def shown(cluster: Cluster) -> dict[str, Any]:
    """Return what ``clementinebend show`` says is in force."""
    code, output = await cluster.operate("show", "--json")
    assert code == 0, output
    document: dict[str, Any] = loads(output)
    return document


async def until_in_force(cluster: Cluster, revision: int) -> None:
    async def everywhere() -> bool:
        names = list(cluster.entries)
        seen = [await revision_of(cluster, name) for name in names]
        return seen == [revision] * len(names)

    await wait_until(everywhere, f"revision {revision} is in force on all entries")


async def change(cluster: Cluster, team: str, *args: str) -> tuple[int, str]:
    """Publish one team more than the cluster's document has."""
    document = deepcopy(cluster.document)
    document["teams"][team] = {"key_digests": []}
    path = write_yaml(cluster.directory / f"{team}.yaml", document)
    return await cluster.operate("publish", path, *args)


async def test_racing_operators_have_one_winner_that_is_in_force_everywhere(
    cluster: Cluster,
) -> None:
    base = (await shown(cluster))["revision"]
    names = [f"racer-{number}" for number in range(RACERS)]
    ended = await gather(*(change(cluster, name, f"--base={base}") for name in names))
    codes = [code for code, _ in ended]
    assert sorted(codes) == [0] + [CONFLICT] * (RACERS - 1), ended
    winner = names[codes.index(0)]
    await until_in_force(cluster, base + 1)
    in_force = await shown(cluster)
    assert in_force["revision"] == base + 1
    assert set(in_force["document"]["teams"]) & set(names) == {winner}


async def test_an_accepted_publication_outlives_lost_answers_of_the_log(
    cluster: Cluster,
) -> None:
    base = (await shown(cluster))["revision"]
    await cluster.caller("log").set_faults(lose_answers=3)
    code, output = await change(cluster, "lost-answer")
    assert code == 0, output
    await until_in_force(cluster, base + 1)
    assert (await shown(cluster))["revision"] == base + 1


async def test_an_entry_started_without_the_log_has_its_peers_revision(
    cluster: Cluster,
) -> None:
    revision = await revision_of(cluster, "entry-2")
    cluster.processes.kill(cluster.running["entry-1"])
    await cluster.caller("log").set_faults(outage=True)
    await cluster.start_entry("entry-1")

    async def learned() -> bool:
        return await revision_of(cluster, "entry-1") == revision

    await wait_until(learned, "the peer gave its revision")
    (asked,) = questions("no log", 1, TOKENS)
    called = await cluster.ask("entry-1", {"model": "model-1"}, asked.headers())
    assert refusal_of(called) == "not_ready"
    await cluster.caller("log").set_faults(outage=False)
    await cluster.until_serving(cluster.entries)
    assert await revision_of(cluster, "entry-1") == revision
    await ask_until_whole(cluster, "entry-1", asked)


async def test_an_old_entry_leaves_when_its_schema_is_outdated(
    tmp_path: Path,
) -> None:
    async with running_cluster(tmp_path, PLAN) as fleet:
        await replace_by_old(fleet, "entry-1")
        code, output = await change(fleet, "for-both")
        assert code == 0, output
        await until_in_force(fleet, 2)
        (first, second, third) = questions("upgrade", 3, LONG)
        async with streaming(fleet, "entry-1", first) as answer:
            code, output = await fleet.operate("activate", "2")
            assert code == 0, output
            await until_leaving(fleet, "entry-1")
            assert not await is_cut_off(answer)
        old = fleet.running["entry-1"]
        assert await fleet.processes.exit_code(old) == 0
        assert "Traceback" not in old.log_text()
        await ask_until_whole(fleet, "entry-2", second)
        assert await revision_of(fleet, "entry-2") == 3
        await fleet.start_entry("entry-1")
        await fleet.until_serving(fleet.entries)
        await until_in_force(fleet, 3)
        await ask_until_whole(fleet, "entry-1", third)
        books = await until_balanced(fleet, 3)
        assert books.summary.held == 0


async def replace_by_old(fleet: Cluster, name: str) -> None:
    """Put an entry that reads the first schema only in a new one's place."""
    assert await fleet.processes.terminate(fleet.running[name]) == 0
    place = fleet.entries[name]
    peers = tuple(fleet.entries.values())
    settings = entry_settings(place, peers, fleet.urls()) | {"schema_version": 1}
    await fleet.start_member("entry", name, place.port, settings)
    await fleet.until_serving([name])


async def until_leaving(fleet: Cluster, name: str) -> None:
    """Wait until an entry asks the balancer to send no more callers."""
    url = fleet.url(name) + "/readyz"

    async def leaving() -> bool:
        outcome = await fleet.client.request("GET", url)
        return outcome.is_error() or outcome.ok.status == 503

    await wait_until(leaving, f"{name} leaves")


async def test_revisions_never_go_down_while_operators_publish(
    cluster: Cluster,
) -> None:
    before = await settled_books(cluster)
    seen: dict[str, list[int]] = {name: [] for name in cluster.entries}
    publishing = create_task(publish_in_turn(cluster, 3))
    while not publishing.done():
        for name, revisions in seen.items():
            revisions.append(await revision_of(cluster, name))
    await publishing
    assert all(revisions == sorted(revisions) for revisions in seen.values()), seen
    last = (await shown(cluster))["revision"]
    await until_in_force(cluster, last)
    assert len((await books_of(cluster)).bills) == len(before.bills)


async def publish_in_turn(cluster: Cluster, count: int) -> None:
    for number in range(count):
        code, output = await change(cluster, f"turn-{number}")
        assert code == 0, output
