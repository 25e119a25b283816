"""A real sidecar process in front of stand-ins, spoken to as an entry does."""

from json import dumps, loads
from pathlib import Path
from typing import Any

from clementinebend_records.identifiers import (
    RequestKey,
    RunId,
    digest_of,
)
from clementinebend_records.messages import (
    CloseNotice,
    CloseReply,
    DrainOrder,
    ReceiptsLogged,
    RunAccepted,
    RunAttach,
    RunCancel,
    RunChunk,
    RunEnd,
    RunFailed,
    RunRefused,
)
from clementinebend_records.reasons import NotRunReason
from clementinebend_standins.models.text import expected_text, prompt_tokens
from tests.lib.http_calls import read_events
from tests.lib.sidecars import (
    AMOUNT,
    HOLDER,
    MODEL,
    QUESTION,
    chat_body,
    connected,
    engine,
    run_start,
    running_place,
    start_sidecar,
)


async def test_runs_stream_whole_and_cost_what_the_engine_tells(
    tmp_path: Path,
) -> None:
    async with running_place(tmp_path, engine()) as place, place.entry() as entry:
        entry.start("r1", token_limit=7)
        streamed = await entry.outcome("r1")
        answer = read_events(streamed.body)
        assert answer.is_whole
        assert answer.text == expected_text(QUESTION, 7)
        assert isinstance(streamed.end, RunEnd)
        assert streamed.end.chunks == len(streamed.chunks)
        assert streamed.end.receipt.amount == prompt_tokens(QUESTION) + 7

        entry.start("r2", stream=False, body=chat_body(5, stream=False))
        whole = await entry.outcome("r2")
        content = loads(whole.body)["choices"][0]["message"]["content"]
        assert content == expected_text(QUESTION, 5)
        assert isinstance(whole.end, RunEnd)
        assert whole.end.receipt.amount == prompt_tokens(QUESTION) + 5

        entry.start("r3", body=b"no json")
        bad = await entry.outcome("r3")
        assert bad.status == 400
        assert isinstance(bad.end, RunEnd)
        assert bad.end.receipt.amount == 0
        assert len(await place.behind.get("/ran")) == 2


async def test_a_retry_attaches_while_the_first_entry_is_gone(tmp_path: Path) -> None:
    async with running_place(tmp_path, engine("--step-ms", "5")) as place:
        async with place.entry() as entry:
            entry.start("r1", body=chat_body(60))
            while not isinstance(await entry.receive(), RunChunk):
                pass
        async with place.entry() as entry:
            digest = digest_of(chat_body(12))
            key = RequestKey("team/r1")
            entry.stream.post(RunAttach(RunId("a1"), key, digest))
            attached = await entry.outcome("a1")
            assert read_events(attached.body).text == expected_text(QUESTION, 60)
            assert isinstance(attached.end, RunEnd)
            assert attached.end.receipt.run == "r1"
            conflict = await entry.ask(RunAttach(RunId("a2"), key, "other"))
            assert conflict == RunRefused(RunId("a2"), NotRunReason.KEY_CONFLICT, 0)
        assert len(await place.behind.get("/ran")) == 1


async def test_a_truncated_answer_is_failed_and_billed_by_the_engines_word(
    tmp_path: Path,
) -> None:
    async with running_place(tmp_path, engine()) as place, place.entry() as entry:
        await place.behind.set_faults(truncate=1)
        entry.start("r1")
        failed = await entry.outcome("r1")
        assert isinstance(failed.end, RunFailed)
        assert failed.end.receipt is not None
        (row,) = await place.behind.get("/ran")
        assert failed.end.receipt.amount == row["total_tokens"]


async def test_an_engine_that_dies_is_charged_with_the_reservation(
    tmp_path: Path,
) -> None:
    async with running_place(tmp_path, engine()) as place, place.entry() as entry:
        await place.behind.set_faults(die_after_chunks=1)
        entry.start("r1")
        failed = await entry.outcome("r1")
        assert isinstance(failed.end, RunFailed)
        assert failed.end.receipt is not None
        assert failed.end.receipt.amount == AMOUNT
        # An engine that ends closes one connection after the other: until all are
        # closed, a run sent on a kept one may have begun.
        await place.processes.exit_code(place.endpoint)
        entry.start("r2")
        refused = await entry.outcome("r2")
        assert isinstance(refused.end, RunRefused)
        assert refused.end.reason == NotRunReason.UNREACHABLE


async def test_a_cancelled_run_is_billed_what_it_took_until_then(
    tmp_path: Path,
) -> None:
    place_of = running_place(tmp_path, engine("--step-ms", "5"))
    async with place_of as place, place.entry() as entry:
        entry.start("r1", body=chat_body(900))
        while not isinstance(await entry.receive(), RunChunk):
            pass
        entry.stream.post(RunCancel(RunId("r1")))
        while not isinstance(end := await entry.receive(), RunFailed):
            assert isinstance(end, RunChunk)
        assert end.receipt is not None
        (row,) = await place.behind.get("/ran")
        assert row["status"] == "cancelled"
        assert end.receipt.amount == row["total_tokens"]


async def test_an_engine_that_refuses_at_the_door_did_not_run(tmp_path: Path) -> None:
    async with running_place(tmp_path, engine()) as place, place.entry() as entry:
        await place.behind.set_faults(reject=1)
        entry.start("r1")
        refused = await entry.outcome("r1")
        assert isinstance(refused.end, RunRefused)
        assert refused.end.reason == NotRunReason.NOT_READY
        notice = CloseNotice("ledger-0", 1, HOLDER)
        reply = await entry.ask(notice)
        witness = entry.hello.incarnation
        assert reply == CloseReply(HOLDER, witness, pending=0, receipts=())
        entry.start("r2")
        closed = await entry.outcome("r2")
        assert isinstance(closed.end, RunRefused)
        assert closed.end.reason == NotRunReason.HOLDER_CLOSED
        assert await place.behind.get("/ran") == []


async def test_a_new_incarnation_refuses_tickets_for_the_old_one(
    tmp_path: Path,
) -> None:
    async with running_place(tmp_path, engine()) as place:
        async with place.entry() as entry:
            old = entry.hello.incarnation
        place.processes.kill(place.sidecar)
        again, _ = await start_sidecar(place.processes, place.endpoint.url)
        async with connected(again.port) as entry:
            assert entry.hello.incarnation != old
            ticket = run_start("r1", old).ticket
            entry.start("r1", ticket=ticket)
            refused = await entry.outcome("r1")
            assert isinstance(refused.end, RunRefused)
            assert refused.end.reason == NotRunReason.WRONG_INCARNATION
        assert await place.behind.get("/ran") == []


async def test_a_planned_stop_cuts_off_nothing_and_waits_for_the_log(
    tmp_path: Path,
) -> None:
    place_of = running_place(
        tmp_path, engine("--step-ms", "5"), slots=1, drain_timeout_s=600.0
    )
    async with place_of as place, place.entry() as entry:
        entry.start("r1", body=chat_body(80))
        entry.start("r2", body=chat_body(8))
        assert isinstance(await entry.receive(), RunAccepted)
        assert isinstance(await entry.receive(), RunAccepted)
        place.processes.request_stop(place.sidecar)
        report = await entry.until_reported(leaving=True)
        assert (report.running, report.queued) == (1, 1)
        ready = await place.operators.call("GET", "/readyz")
        assert ready.status == 503
        entry.start("r3")
        refused = await entry.outcome("r3")
        assert isinstance(refused.end, RunRefused)
        assert refused.end.reason == NotRunReason.LEAVING
        second = await entry.outcome("r2")
        assert read_events(second.body).text == expected_text(QUESTION, 8)
        assert isinstance(second.end, RunEnd)
        entry.stream.post(ReceiptsLogged((RunId("r1"), RunId("r2"))))
        assert await place.processes.exit_code(place.sidecar) == 0
        texts = [row["completion_tokens"] for row in await place.behind.get("/ran")]
        assert texts == [80, 8]


async def test_operators_see_metrics_and_order_a_drain(tmp_path: Path) -> None:
    async with running_place(tmp_path, engine()) as place, place.entry() as entry:
        entry.start("r1")
        await entry.outcome("r1")
        page = await place.operators.call("GET", "/metrics")
        assert b'clementinebend_runs_total{outcome="whole_answer"} 1.0' in page.body
        assert b"clementinebend_receipts_kept 1.0" in page.body
        assert b"clementinebend_overrun_total 0.0" in page.body
        health = await place.operators.get("/healthz")
        assert (health["receipts"], health["leaving"]) == (1, False)
        drained = await place.operators.call("POST", "/drain")
        assert drained.status == 202
        assert await place.processes.exit_code(place.sidecar) == 0


async def test_entries_hear_of_cached_prefixes_and_order_a_drain(
    tmp_path: Path,
) -> None:
    async with running_place(tmp_path, engine()) as place, place.entry() as entry:
        text = "x" * 256
        body = dumps({"model": MODEL, "prompt": text, "target_tokens": 4}).encode()
        entry.start("r1", path="/v1/completions", body=body)
        await entry.outcome("r1")
        change = await entry.cache_event()
        assert change.endpoint == "engine-1"
        assert len(change.stored) == 4
        entry.stream.post(DrainOrder("operator"))
        assert await place.processes.exit_code(place.sidecar) == 0


async def test_plain_calls_run_once_and_an_unanswered_one_is_unknown(
    tmp_path: Path,
) -> None:
    service = ("clementinebend-standin-service",)
    call: dict[str, Any] = {
        "path": "/booking",
        "body": b"{}",
        "stream": False,
        "idempotent": False,
    }
    place_of = running_place(tmp_path, service, kind="plain")
    async with place_of as place, place.entry() as entry:
        entry.start("r1", **call)
        booked = await entry.outcome("r1")
        assert booked.status == 200
        assert isinstance(booked.end, RunEnd)
        assert booked.end.receipt.amount == AMOUNT
        await place.behind.set_faults(truncate=1)
        entry.start("r2", **call)
        unknown = await entry.outcome("r2")
        assert isinstance(unknown.end, RunFailed)
        assert unknown.end.receipt is None
        await place.behind.set_faults(fail_after=1)
        entry.start("r3", **call)
        failed = await entry.outcome("r3")
        assert isinstance(failed.end, RunFailed)
        assert failed.end.receipt is not None
        assert failed.end.receipt.amount == AMOUNT
        counts = [row["count"] for row in await place.behind.get("/ran")]
        assert counts == [1, 1, 1]
