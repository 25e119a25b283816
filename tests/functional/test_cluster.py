"""A whole fleet of real processes serves, bills once and stops in order."""

from pathlib import Path

from clementinebend_ledger.outcomes import Billed
from clementinebend_ledger.state import budget_summary
from clementinebend_standins.models.text import expected_text, prompt_tokens
from tests.lib.cluster_files import BUDGET, PLAIN_COST, Plan
from tests.lib.clusters import Cluster, chat, running_cluster
from tests.lib.http_calls import read_events
from tests.lib.processes import wait_until

QUESTION = "Ktorá lekáreň v Prešove má v nedeľu otvorené?"
TOKENS = 10
CHAT_COST = prompt_tokens(QUESTION) + TOKENS


async def until_billed(cluster: Cluster, amount: int) -> None:
    async def billed() -> bool:
        ledger = await cluster.ledger()
        return budget_summary(ledger.state, BUDGET).billed >= amount

    await wait_until(billed, f"{amount} tokens are billed")


async def test_a_cluster_answers_bills_once_and_stops_in_order(
    tmp_path: Path,
) -> None:
    async with running_cluster(tmp_path) as cluster:
        for entry in cluster.entries:
            streamed = await cluster.ask(
                entry, chat(QUESTION, TOKENS), {"idempotency-key": "k"}
            )
            assert streamed.status == 200, streamed
            answer = read_events(streamed.body)
            assert answer.is_whole
            assert answer.text == expected_text(QUESTION, TOKENS)
        booked = [await cluster.book(entry, "b") for entry in cluster.entries]
        assert [answer.status for answer in booked] == [200, 200], booked
        assert booked[0].body == booked[1].body

        runs = [
            row
            for name in ("engine-1", "engine-2")
            for row in await cluster.caller(f"{name}-endpoint").get("/ran")
        ]
        assert [row["completion_tokens"] for row in runs] == [TOKENS]
        (executed,) = await cluster.caller("service-1-endpoint").get("/ran")
        assert executed["count"] == 1

        await until_billed(cluster, CHAT_COST + PLAIN_COST)
        ledger = await cluster.ledger()
        bills = [item for item in ledger.outcomes if isinstance(item, Billed)]
        amounts = sorted(item.bill.amount for item in bills)
        assert amounts == sorted((CHAT_COST, PLAIN_COST))
        for name in (*cluster.entries, *cluster.endpoints):
            assert await cluster.processes.terminate(cluster.running[name]) == 0


async def test_killed_processes_start_again_in_their_places(tmp_path: Path) -> None:
    plan = Plan(zones=("zone-a",), entries=1, engines=1, services=0)
    async with running_cluster(tmp_path, plan) as cluster:
        await ask_until_whole(cluster, "before")
        for name in ("entry-1", "engine-1"):
            cluster.processes.kill(cluster.running[name])
        await cluster.start_sidecar("engine-1")
        await cluster.start_entry("entry-1")
        await cluster.until_serving(["entry-1"])
        await ask_until_whole(cluster, "after")
        runs = await cluster.caller("engine-1-endpoint").get("/ran")
        assert [row["completion_tokens"] for row in runs] == [TOKENS, TOKENS]


async def ask_until_whole(cluster: Cluster, key: str) -> None:
    """Repeat a request while it is refused as not run; then it must be whole."""

    async def whole() -> bool:
        called = await cluster.ask(
            "entry-1", chat(QUESTION, TOKENS), {"idempotency-key": key}
        )
        if called.status == 200:
            return read_events(called.body).text == expected_text(QUESTION, TOKENS)
        assert called.json()["error"]["type"] == "not_run", called
        return False

    await wait_until(whole, f"the request {key!r} is answered")
