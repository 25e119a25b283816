"""The log, the host list and the weight store over HTTP, and their faults."""

from asyncio import create_task

from msgpack import unpackb

from clementinebend_standins.apps.hosts import hosts_handler
from clementinebend_standins.apps.log import log_handler
from clementinebend_standins.apps.weights import weights_handler
from tests.lib.http_calls import Caller, serving
from tests.lib.processes import wait_until

LONG_WAIT_MS = 30_000


async def records(log: Caller, path: str) -> list[list[object]]:
    called = await log.call("GET", path)
    assert called.status == 200
    found: list[list[object]] = unpackb(called.body)["records"]
    return found


async def until_reads(log: Caller, number: int) -> None:
    async def counted() -> bool:
        stats = await log.get("/stats")
        return bool(stats.get("reads", 0) == number)

    await wait_until(counted, f"{number} reads have begun")


async def test_a_waiting_read_gets_the_next_append_of_its_own_stream() -> None:
    async with serving(log_handler()) as log:
        path = f"/streams/a?from=0&wait_ms={LONG_WAIT_MS}"
        reading = create_task(records(log, path))
        await until_reads(log, 1)
        await log.call("POST", "/streams/b", b"other")
        assert not reading.done()
        called = await log.call("POST", "/streams/a", b"mine")
        assert called.json() == {"offset": 0}
        assert await reading == [[0, b"mine"]]


async def test_a_lost_answer_is_of_an_append_that_took_effect() -> None:
    async with serving(log_handler()) as log:
        await log.set_faults(lose_answers=1)
        lost = await log.call("POST", "/streams/a", b"1")
        kept = await log.call("POST", "/streams/a", b"2")
        assert (lost.status, kept.json()) == (504, {"offset": 1})
        assert await records(log, "/streams/a?from=0") == [[0, b"1"], [1, b"2"]]


async def test_an_outage_has_no_effect_and_ends_waiting_reads() -> None:
    async with serving(log_handler()) as log:
        path = f"/streams/a?from=0&wait_ms={LONG_WAIT_MS}"
        reading = create_task(log.call("GET", path))
        await until_reads(log, 1)
        await log.set_faults(outage=True)
        assert (await reading).status == 503
        assert (await log.call("POST", "/streams/a", b"1")).status == 503
        await log.set_faults(outage=False)
        assert await records(log, "/streams/a?from=0") == []


async def test_a_cut_client_is_refused_and_others_are_not() -> None:
    async with serving(log_handler()) as log:
        await log.set_faults(cut=["entry-a"])
        refused = await log.call("POST", "/streams/a", b"1", {"x-client": "entry-a"})
        taken = await log.call("POST", "/streams/a", b"2", {"x-client": "entry-b"})
        assert (refused.status, taken.json()) == (503, {"offset": 0})


async def test_retention_and_rate_are_faults_too() -> None:
    async with serving(log_handler()) as log:
        await log.set_faults(retain=1)
        for data in (b"1", b"2"):
            await log.call("POST", "/streams/a", data)
        trimmed = await log.call("GET", "/streams/a?from=0")
        assert (trimmed.status, trimmed.json()) == (410, {"oldest": 1})
        assert await records(log, "/streams/a?from=1") == [[1, b"2"]]
        await log.set_faults(appends_per_second=1)
        assert (await log.call("POST", "/streams/a", b"3")).status == 429


async def test_an_unknown_fault_is_refused_with_the_names_allowed() -> None:
    async with serving(log_handler()) as log:
        called = await log.call("PUT", "/faults", {"outage": True, "otage": True})
        assert called.status == 400
        message = called.json()["error"]["message"]
        assert "'otage'" in message
        assert "lose_answers" in message
        assert (await log.get("/faults"))["outage"] is False
        assert (await log.call("PUT", "/faults", {"slow_ms": "x"})).status == 400


async def test_the_host_list_lags() -> None:
    listed = {"name": "a", "address": "127.0.0.1:1", "zone": "z", "state": "live"}
    async with serving(hosts_handler()) as hosts:
        await hosts.set_faults(lag_ms=3_600_000)
        await hosts.call("PUT", "/hosts", {"hosts": [listed]})
        assert await hosts.get("/hosts") == {"hosts": []}
        await hosts.set_faults(lag_ms=0)
        assert await hosts.get("/hosts") == {"hosts": [listed]}
        wrong = {"hosts": [{**listed, "state": "dead"}]}
        assert (await hosts.call("PUT", "/hosts", wrong)).status == 400


async def test_the_weight_store_says_when_to_come_back() -> None:
    async with serving(weights_handler(size_bytes=7, loads_per_second=1)) as weights:
        assert (await weights.get("/weights/m")) == {"model": "m", "size": 7}
        busy = await weights.call("GET", "/weights/m")
        assert (busy.status, busy.headers["retry-after"]) == (429, "1")
