"""The adapters against the stand-ins, over HTTP on loopback."""

from json import dumps

from clementinebend_platform_client.engine import EngineClient
from clementinebend_platform_client.exceptions import CallFailed
from clementinebend_platform_client.hosts import HostEntry, HostsClient
from clementinebend_platform_client.log_client import (
    LogFailure,
    ReadPage,
    Trimmed,
    http_log_client,
)
from clementinebend_platform_client.service import ServiceClient
from clementinebend_platform_client.weight_store import WeightStoreClient
from clementinebend_records.identifiers import RequestKey, RunId
from clementinebend_standins.apps.batcher import EngineFaults
from clementinebend_standins.apps.engine import EngineSettings, engine_handler
from clementinebend_standins.apps.hosts import hosts_handler
from clementinebend_standins.apps.log import log_handler
from clementinebend_standins.apps.service import service_handler
from clementinebend_standins.apps.weights import weights_handler
from clementinebend_transport.http_client import Answer, OpenAnswer
from clementinebend_transport.http_server import Handler, Response
from tests.lib.http_calls import read_events, serving

STREAM = "ledger/0"
COMPLETIONS = "/v1/completions"
BODY = {"model": "m", "prompt": "some words " * 100, "max_tokens": 12}
STREAMED = {**BODY, "stream": True, "stream_options": {"include_usage": True}}
TIMEOUT = 60.0


def engine(fenced: bool = False) -> Handler:
    settings = EngineSettings(models=("m",), fenced=fenced)
    return engine_handler(settings, EngineFaults())


async def text_of(answer: OpenAnswer) -> bytes:
    assert answer.status == 200
    return b"".join([piece async for piece in answer.chunks])


async def test_log_appends_and_reads_and_tells_what_is_trimmed() -> None:
    async with serving(log_handler()) as caller:
        log = http_log_client(caller.url, caller.client, "n")
        for i in range(4):
            assert (await log.append(STREAM, bytes([i]))).ok == i
        page = (await log.read(STREAM, 1, 2, 0.0)).ok
        assert page == ReadPage(((1, b"\x01"), (2, b"\x02")), 3, 0)
        await caller.set_faults(retain=1)
        assert (await log.read(STREAM, 0, 10, 0.0)).error == Trimmed(3)
        assert (await log.read(STREAM, 4, 10, 0.0)).ok == ReadPage((), 4, 3)


async def test_log_failures_tell_whether_the_append_may_be_done() -> None:
    async with serving(log_handler()) as caller:
        log = http_log_client(caller.url, caller.client, "n")
        await caller.set_faults(lose_answers=1)
        assert (await log.append(STREAM, b"a")).error.maybe_done
        await caller.set_faults(cut=["n"])
        assert not (await log.append(STREAM, b"b")).error.maybe_done
        failure = (await log.read(STREAM, 0, 10, 0.0)).error
        assert isinstance(failure, LogFailure)
        await caller.set_faults(cut=[], appends_per_second=1)
        answers = [await log.append(STREAM, b"c") for _ in range(3)]
        refused = [answer.error for answer in answers if answer.is_error()]
        assert refused
        assert all(error.throttled and not error.maybe_done for error in refused)
    assert not (await log.append(STREAM, b"d")).error.maybe_done


async def test_engine_streams_runs_and_tells_what_a_cancel_cost() -> None:
    async with serving(engine()) as caller:
        client = EngineClient(caller.url, caller.client)
        started = await client.start(
            COMPLETIONS, dumps(STREAMED).encode(), RunId("r"), 3, TIMEOUT
        )
        whole = read_events(await text_of(started.ok))
        assert whole.is_whole
        assert whole.usage is not None
        assert (await client.cancel(RunId("r"))).ok == whole.usage["total_tokens"]
        missing = (await client.cancel(RunId("none"))).error
        assert (missing.sent, missing.status) == (False, 404)
        assert (await client.load()).ok["models"] == ["m"]
        events = (await client.cache_events(0)).ok
        assert (await client.cache_events(events[-1]["sequence"])).ok == ()


async def test_a_run_moves_to_another_engine_and_goes_on_there() -> None:
    async with serving(engine()) as first, serving(engine()) as second:
        source = EngineClient(first.url, first.client)
        target = EngineClient(second.url, second.client)
        body = dumps(STREAMED).encode()
        started = await source.start(COMPLETIONS, body, RunId("r"), 0, TIMEOUT)
        whole = read_events(await text_of(started.ok))
        cache = (await source.export_kv(RunId("r"))).ok
        assert (await target.import_kv(RunId("r"), cache)).is_ok()
        resumed = await target.resume(RunId("r"), 4, TIMEOUT)
        rest = read_events(await text_of(resumed.ok))
        assert rest.is_whole
        assert rest.text
        assert whole.text.endswith(rest.text)


async def test_engine_refuses_an_old_fencing_number() -> None:
    async with serving(engine(fenced=True)) as caller:
        client = EngineClient(caller.url, caller.client)
        assert (await client.order(5, {"action": "load", "model": "x"})).is_ok()
        refused = (await client.order(4, {"action": "unload", "model": "x"})).error
        assert (refused.sent, refused.status) == (False, 409)
        assert "x" in (await client.load()).ok["models"]


async def test_service_failures_tell_whether_the_call_may_be_done() -> None:
    async with serving(service_handler()) as caller:
        client = ServiceClient(caller.url, caller.client)
        assert (await book(client)).status == 200
        await caller.set_faults(truncate=1)
        cut_off = await book(client)
        assert isinstance(cut_off, CallFailed)
        assert cut_off.sent
        await caller.set_faults(fail_after=1)
        assert (await book(client)).status == 500
        (row,) = await caller.get("/ran")
        assert (row["key"], row["count"]) == ("team/k", 3)
        await caller.set_faults(hang=True)
        late = await book(client, timeout=0.05)
        assert isinstance(late, CallFailed)
        assert late.sent
        await caller.set_faults(hang=False)
    refused = await book(client)
    assert isinstance(refused, CallFailed)
    assert not refused.sent


async def test_weight_store_says_when_to_come_back() -> None:
    async with serving(weights_handler(10, 1)) as caller:
        client = WeightStoreClient(caller.url, caller.client)
        assert (await client.fetch("m")).ok == {"model": "m", "size": 10}
        await caller.set_faults(loads_per_second=0, outage=True)
        away = (await client.fetch("m")).error
        assert (away.sent, away.status) == (True, 503)
    async with serving(busy) as caller:
        client = WeightStoreClient(caller.url, caller.client)
        full = (await client.fetch("m")).error
        assert (full.sent, full.status, full.retry_after) == (False, 429, 7.0)


async def test_hosts_are_listed_or_the_list_is_missing() -> None:
    row = {"name": "e", "address": "127.0.0.1:1", "zone": "a", "state": "live"}
    async with serving(hosts_handler()) as caller:
        client = HostsClient(caller.url, caller.client)
        assert (await client.list()).ok == ()
        await caller.call("PUT", "/hosts", {"hosts": [row]})
        assert (await client.list()).ok == (HostEntry(**row),)
    assert (await client.list()).error


async def busy(request: object) -> Response:
    return Response(429, (("retry-after", "7"),), b"{}")


async def book(client: ServiceClient, timeout: float = TIMEOUT) -> Answer | CallFailed:
    answer = await client.call(
        "POST",
        "/book",
        "application/json",
        b"{}",
        RunId("r"),
        RequestKey("team/k"),
        timeout,
    )
    return answer.ok if answer.is_ok() else answer.error
