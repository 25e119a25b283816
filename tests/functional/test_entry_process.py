"""Entries among real processes that fail: answers whole, billed once, honest."""

from asyncio import create_task, gather
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from json import dumps
from pathlib import Path

from clementinebend_ledger.outcomes import Billed, TransferApplied
from clementinebend_ledger.replay import BudgetSummary, budget_summary
from clementinebend_records.identifiers import process_name_of
from clementinebend_records.records import Bill, ClaimOutcome
from clementinebend_standins.models.text import expected_text, prompt_tokens
from clementinebend_transport.http_client import OpenAnswer
from tests.lib.cluster_files import BUDGET, PLAIN_COST, TEAM_KEY, Plan, host_list
from tests.lib.clusters import CHAT_PATH, Cluster, chat, running_cluster
from tests.lib.http_calls import read_events
from tests.lib.log_readers import read_batches
from tests.lib.processes import wait_until

QUESTION = "Je v sobotu voľný kemp pri jazere?"
LONG = 120
"""Tokens of an answer that lasts while something fails."""

SLOW_STEPS = ("--step-ms", "20")
ONE_ZONE = ("zone-a",)
CLAIMS = "claims-0"


async def summary(cluster: Cluster) -> BudgetSummary:
    return budget_summary((await cluster.ledger()).state, BUDGET)


async def bills(cluster: Cluster) -> list[Bill]:
    outcomes = (await cluster.ledger()).outcomes
    return [outcome.bill for outcome in outcomes if isinstance(outcome, Billed)]


async def until_bills(cluster: Cluster, count: int) -> list[Bill]:
    async def enough() -> bool:
        return len(await bills(cluster)) >= count

    await wait_until(enough, f"{count} bills are on the log")
    return await bills(cluster)


async def until_free(cluster: Cluster) -> BudgetSummary:
    async def free() -> bool:
        return (await summary(cluster)).granted == 0

    await wait_until(free, "all grants are closed or given back")
    return await summary(cluster)


async def until_closed(cluster: Cluster, entry: str, count: int = 1) -> None:
    """Wait until holders of ``entry`` are closed and released."""

    async def closed() -> bool:
        released = (await cluster.ledger()).state.released
        return [process_name_of(holder) for holder in released].count(entry) >= count

    await wait_until(closed, f"holders of {entry} are released")


async def until_recorded(cluster: Cluster) -> None:
    async def recorded() -> bool:
        read = await read_batches(cluster.client, cluster.url("log"), CLAIMS)
        records = (record for _, batch in read for record in batch.records)
        return any(isinstance(record, ClaimOutcome) for record in records)

    await wait_until(recorded, "the answer of a claimed call is on the log")


@asynccontextmanager
async def streaming(
    cluster: Cluster, entry: str, tokens: int, key: str = ""
) -> AsyncIterator[OpenAnswer]:
    """Give a streamed answer of which the first bytes have come."""
    headers = [("authorization", f"Bearer {TEAM_KEY}")]
    headers += [("idempotency-key", key)] if key else []
    opened = await cluster.client.open(
        "POST",
        cluster.url(entry) + CHAT_PATH,
        headers=tuple(headers),
        body=dumps(chat(QUESTION, tokens)).encode(),
    )
    assert opened.is_ok(), opened.error
    answer = opened.ok
    await anext(answer.chunks)
    try:
        yield answer
    finally:
        answer.close()


async def test_a_retry_after_an_entrys_death_gets_the_whole_answer(
    tmp_path: Path,
) -> None:
    async with running_cluster(tmp_path, Plan(engine_args=SLOW_STEPS)) as cluster:
        async with streaming(cluster, "entry-1", LONG, "k"):
            cluster.processes.kill(cluster.running["entry-1"])
            retried = await cluster.ask(
                "entry-2", chat(QUESTION, LONG), {"idempotency-key": "k"}
            )
        answer = read_events(retried.body)
        assert answer.is_whole
        assert answer.text == expected_text(QUESTION, LONG)
        (bill,) = await until_bills(cluster, 1)
        assert bill.amount == prompt_tokens(QUESTION) + LONG

        await cluster.start_entry("entry-1")
        await cluster.until_serving(("entry-1",))
        await cluster.processes.terminate(cluster.running["entry-2"])
        freed = await until_free(cluster)
        assert (freed.billed, freed.held) == (bill.amount, 0)


async def test_while_the_log_is_down_grants_serve_and_bookings_are_refused(
    tmp_path: Path,
) -> None:
    async with running_cluster(tmp_path, Plan(entries=1)) as cluster:
        asked = chat(QUESTION, 5, stream=False)
        assert (await cluster.ask("entry-1", asked, {})).status == 200
        await until_bills(cluster, 1)
        await cluster.caller("log").set_faults(outage=True)
        served = await cluster.ask("entry-1", asked, {})
        assert served.status == 200, served
        booked = await cluster.book("entry-1", "b", b"x")
        assert booked.status == 503, booked
        assert booked.json()["error"]["type"] == "not_run"
        huge = await cluster.ask("entry-1", chat("x" * 100_000, 5), {})
        assert huge.status == 503
        assert huge.json()["error"]["reason"] == "budget_unavailable"
        await cluster.caller("log").set_faults(outage=False)
        assert len(await until_bills(cluster, 2)) == 2

        async def booked_at_last() -> bool:
            return (await cluster.book("entry-1", "b", b"x")).status == 200

        await wait_until(booked_at_last, "the log is heard again and a call claimed")
        (executed,) = await cluster.caller("service-1-endpoint").get("/ran")
        assert executed["count"] == 1


async def test_refusals_are_honest_and_recorded_answers_outlive_processes(
    tmp_path: Path,
) -> None:
    async with running_cluster(tmp_path, Plan(budget_tokens=1_000)) as cluster:
        spent = await cluster.ask("entry-1", chat("x" * 2_000, 5), {})
        assert spent.status == 402, spent
        assert spent.json()["error"]["reason"] == "budget_exhausted"
        assert int(spent.headers["retry-after"]) > 0

        first = await cluster.book("entry-1", "b", b"site 7")
        await until_recorded(cluster)
        cluster.processes.kill(cluster.running["service-1"])
        cluster.processes.kill(cluster.running["entry-1"])
        second = await cluster.book("entry-2", "b", b"site 7")
        assert (second.status, second.body) == (200, first.body)
        other = await cluster.book("entry-2", "b", b"site 8")
        assert (other.status, other.json()["error"]["reason"]) == (409, "key_conflict")
        (executed,) = await cluster.caller("service-1-endpoint").get("/ran")
        assert executed["count"] == 1

        key = {"idempotency-key": "c"}
        asked = chat(QUESTION, 5, stream=False)
        assert (await cluster.ask("entry-2", asked, key)).status == 200
        other = await cluster.ask("entry-2", chat("x", 5), key)
        assert (other.status, other.json()["error"]["reason"]) == (409, "key_conflict")
        assert sorted(bill.amount for bill in await until_bills(cluster, 2)) == sorted(
            (PLAIN_COST, prompt_tokens(QUESTION) + 5)
        )


async def test_a_caller_that_leaves_pays_for_what_ran_only(tmp_path: Path) -> None:
    plan = Plan(entries=1, engines=1, zones=ONE_ZONE, engine_args=SLOW_STEPS)
    async with running_cluster(tmp_path, plan) as cluster:
        async with streaming(cluster, "entry-1", LONG):
            pass
        (bill,) = await until_bills(cluster, 1)
        assert prompt_tokens(QUESTION) < bill.amount < prompt_tokens(QUESTION) + LONG
        async with streaming(cluster, "entry-1", LONG, "k"):
            pass
        retried = await cluster.ask(
            "entry-1", chat(QUESTION, LONG), {"idempotency-key": "k"}
        )
        assert read_events(retried.body).text == expected_text(QUESTION, LONG)
        assert len(await until_bills(cluster, 2)) == 2


async def test_a_planned_stop_under_load_cuts_nothing_off(tmp_path: Path) -> None:
    plan = Plan(entries=1, engine_args=SLOW_STEPS)
    async with running_cluster(tmp_path, plan) as cluster:
        asked = [
            create_task(cluster.ask("entry-1", chat(f"{n} {QUESTION}", 40), {}))
            for n in range(8)
        ]

        async def running() -> bool:
            load = [
                await cluster.caller(f"{name}-endpoint").get("/load")
                for name in ("engine-1", "engine-2")
            ]
            total: int = sum(each["running"] for each in load)
            return total == len(asked)

        await wait_until(running, "all requests run")
        await cluster.caller("log").set_faults(slow_ms=400)
        entry = cluster.running["entry-1"]
        cluster.processes.request_stop(entry)
        answers = await gather(*asked)
        assert all(read_events(answer.body).is_whole for answer in answers)
        assert await cluster.processes.exit_code(entry) == 0
        await cluster.caller("log").set_faults(slow_ms=0)
        assert len(await bills(cluster)) == len(asked)
        assert (await summary(cluster)).granted == 0


async def test_an_idempotent_request_outlives_its_sidecar(tmp_path: Path) -> None:
    async with running_cluster(tmp_path, Plan(engine_args=SLOW_STEPS)) as cluster:
        asked = create_task(
            cluster.ask("entry-1", chat(QUESTION, LONG, stream=False), {})
        )

        async def busy() -> list[str]:
            loads = {
                name: await cluster.caller(f"{name}-endpoint").get("/load")
                for name in ("engine-1", "engine-2")
            }
            return [name for name, load in loads.items() if load["running"]]

        async def running() -> bool:
            return bool(await busy())

        await wait_until(running, "the request runs")
        (name,) = await busy()
        cluster.processes.kill(cluster.running[name])
        answer = await asked
        assert answer.status == 200, answer
        text = answer.json()["choices"][0]["message"]["content"]
        assert text == expected_text(QUESTION, LONG)
        (bill,) = await until_bills(cluster, 1)
        assert bill.amount == prompt_tokens(QUESTION) + LONG


async def test_a_cold_entry_has_the_configuration_from_a_peer(tmp_path: Path) -> None:
    async with running_cluster(tmp_path) as cluster:
        cluster.processes.kill(cluster.running["entry-1"])
        await cluster.caller("log").set_faults(outage=True)
        await cluster.start_entry("entry-1")

        async def configured() -> bool:
            called = await cluster.caller("entry-1").call("GET", "/readyz")
            return list(called.json()["missing"]) == ["ledger shards"]

        await wait_until(configured, "a peer gave the configuration")
        refused = await cluster.ask("entry-1", chat(QUESTION, 5), {})
        assert refused.status == 503
        assert refused.json()["error"]["reason"] == "not_ready"


async def test_entries_on_one_side_of_a_cut_lend_to_each_other(tmp_path: Path) -> None:
    plan = Plan(zones=ONE_ZONE, engines=1)
    async with running_cluster(tmp_path, plan) as cluster:
        asked = chat(QUESTION, 5, stream=False)
        await gather(*(cluster.ask("entry-1", asked, {}) for _ in range(20)))
        await until_bills(cluster, 20)
        await cluster.caller("log").set_faults(outage=True)
        served = await cluster.ask("entry-2", asked, {})
        assert served.status == 200, served
        await cluster.caller("log").set_faults(outage=False)
        assert len(await until_bills(cluster, 21)) == 21
        outcomes = (await cluster.ledger()).outcomes
        assert any(isinstance(outcome, TransferApplied) for outcome in outcomes)


async def test_an_entry_that_never_returns_is_closed_by_the_others(
    tmp_path: Path,
) -> None:
    async with running_cluster(tmp_path) as cluster:
        asked = chat(QUESTION, 5, stream=False)
        assert (await cluster.ask("entry-1", asked, {})).status == 200
        await until_bills(cluster, 1)
        cluster.processes.kill(cluster.running["entry-1"])
        places = tuple(cluster.endpoints.values())
        listed = host_list((cluster.entries["entry-2"],), places)
        await cluster.caller("hosts").call("PUT", "/hosts", listed)
        await until_closed(cluster, "entry-1")
        await cluster.processes.terminate(cluster.running["entry-2"])
        freed = await until_free(cluster)
        assert freed.held == 0


async def test_a_sidecars_restart_leaves_nothing_held_when_an_entry_dies(
    tmp_path: Path,
) -> None:
    async with running_cluster(tmp_path, Plan(entries=1, engines=1)) as cluster:
        asked = chat(QUESTION, 5, stream=False)
        assert (await cluster.ask("entry-1", asked, {})).status == 200
        await until_bills(cluster, 1)
        cluster.processes.kill(cluster.running["engine-1"])
        await cluster.start_sidecar("engine-1")
        await until_closed(cluster, "entry-1")
        assert (await cluster.ask("entry-1", asked, {})).status == 200
        await until_bills(cluster, 2)
        cluster.processes.kill(cluster.running["entry-1"])
        await cluster.start_entry("entry-1")
        await until_closed(cluster, "entry-1", 2)
        assert await cluster.processes.terminate(cluster.running["entry-1"]) == 0
        freed = await until_free(cluster)
        assert (freed.held, freed.shortfall) == (0, 0)


async def test_a_paused_entry_wakes_up_closed_and_goes_on_as_another_holder(
    tmp_path: Path,
) -> None:
    async with running_cluster(tmp_path) as cluster:
        asked = chat(QUESTION, 5, stream=False)
        assert (await cluster.ask("entry-1", asked, {})).status == 200
        await until_bills(cluster, 1)
        holders = (await cluster.ledger()).state.holders
        (holder,) = (each for each in holders if process_name_of(each) == "entry-1")
        cluster.processes.pause(cluster.running["entry-1"])
        code, output = await cluster.operate("close", holder)
        assert code == 0, output
        await until_closed(cluster, "entry-1")
        cluster.processes.wake(cluster.running["entry-1"])
        answers = [await cluster.ask("entry-1", asked, {}) for _ in range(3)]
        assert [answer.status for answer in answers] == [200, 200, 200], answers
        assert len(await until_bills(cluster, 4)) == 4
        for entry in cluster.entries:
            assert await cluster.processes.terminate(cluster.running[entry]) == 0
        freed = await until_free(cluster)
        cost = prompt_tokens(QUESTION) + 5
        assert (freed.billed, freed.held, freed.shortfall) == (4 * cost, 0, 0)
