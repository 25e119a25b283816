"""Tests of attempts, retries and outcomes with scripted sidecars."""

from asyncio import create_task, gather
from json import loads
from typing import Any

import pytest

from clementinebend_entry.exceptions import AnswerCutOff
from clementinebend_platform_client.log_client import http_log_client
from clementinebend_records.codec import decode_batch, encode_batch
from clementinebend_records.identifiers import GrantId, Incarnation, RunId
from clementinebend_records.messages import (
    Receipt,
    RunAccepted,
    RunAttach,
    RunCancel,
    RunChunk,
    RunEnd,
    RunFailed,
    RunHead,
)
from clementinebend_records.reasons import NotRunReason
from clementinebend_records.records import Batch, Claim, ClaimVoid
from clementinebend_transport.http_server import Response
from tests.lib.processes import wait_until
from tests.unit.entry.builders import chat_request, parsed, request
from tests.unit.entry.scripted import (
    BUDGET,
    ScriptedSidecar,
    Send,
    accept_only,
    fail,
    fail_uncertain,
    omit_chunk,
    refuse,
    scripted_entry,
    whole,
)

RIVAL = Incarnation("entry-9#a")
STREAMED = {
    "model": "m1",
    "messages": [{"role": "user", "content": "x"}],
    "stream": True,
}


def error_of(response: Response) -> Any:
    assert isinstance(response.body, bytes)
    return loads(response.body)["error"]


async def test_work_refused_by_one_sidecar_runs_at_another() -> None:
    leaving = ScriptedSidecar("engine-1", refuse(NotRunReason.LEAVING))
    serving = ScriptedSidecar("engine-2", whole)
    async with scripted_entry(leaving, serving) as entry:
        answers = [await entry.ask(chat_request()) for _ in range(4)]
        assert [answer.status for answer in answers] == [200] * 4
        assert (await entry.until_settled()).billed == 4 * 5


async def test_when_all_refuse_the_caller_is_told_why_and_nothing_is_billed() -> None:
    sidecar = ScriptedSidecar("engine-1", refuse(NotRunReason.OVERLOADED))
    async with scripted_entry(sidecar) as entry:
        answer = await entry.ask(chat_request())
        assert answer.status == 429
        assert error_of(answer)["reason"] == "overloaded"
        summary = await entry.until_settled()
        assert (summary.billed, summary.held) == (0, 0)


async def test_a_failed_run_is_run_again_elsewhere_and_billed_once() -> None:
    sidecars = ScriptedSidecar("engine-1", fail), ScriptedSidecar("engine-2", fail)
    async with scripted_entry(*sidecars) as entry:
        entry.fleet.router.is_witness = lambda budget, who: who.startswith("engine-1")
        sidecars[1].act = whole
        asked = create_task(entry.ask(chat_request()))
        await sidecars[0].until(lambda: bool(sidecars[0].started))
        entry.fleet.router.is_witness = entry.fleet.ledger.is_witness
        answer = await asked
        assert answer.status == 200
        assert (await entry.until_settled()).billed == 5
        await sidecars[0].until_receipts_logged()
        await sidecars[1].until_receipts_logged()


async def test_a_run_that_fails_for_good_is_billed_and_reported() -> None:
    async with scripted_entry(ScriptedSidecar("engine-1", fail)) as entry:
        answer = await entry.ask(chat_request())
        assert answer.status == 502
        assert error_of(answer)["type"] == "ran_and_failed"
        assert (await entry.until_settled()).billed == 3


async def test_a_run_of_uncertain_outcome_is_held_and_unknown(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async with scripted_entry(ScriptedSidecar("engine-1", fail_uncertain)) as entry:
        answer = await entry.ask(chat_request())
        assert answer.status == 504
        summary = await entry.until_settled()
        assert summary.billed == 0
        assert summary.held > 0
    (lost,) = (each for each in caplog.records if each.message == "run lost")
    assert (
        vars(lost).items() >= {"endpoint": "engine-1", "result": "RunUncertain"}.items()
    )


async def test_a_stream_with_a_lost_piece_is_cut_off_and_billed() -> None:
    async with scripted_entry(ScriptedSidecar("engine-1", omit_chunk)) as entry:
        answer = await entry.ask(chat_request(STREAMED))
        assert not isinstance(answer.body, bytes)
        received = b""
        with pytest.raises(AnswerCutOff):
            async for piece in answer.body:
                received += piece
        assert received.startswith(b"data: 1\n\n")
        assert b"[DONE]" not in received
        assert b"ran_and_failed" in received
        assert (await entry.until_settled()).billed == 7


async def test_a_booking_whose_sidecar_is_replaced_never_runs_again() -> None:
    sidecar = ScriptedSidecar("service-1", accept_only)
    async with scripted_entry(sidecar, service="booking") as entry:
        made = request("POST", "/booking", b"site 7", idempotency_key="b")
        asked = create_task(entry.ask(made))
        await sidecar.until(lambda: len(sidecar.started) == 1)
        await sidecar.restart(whole)
        answer = await asked
        assert (answer.status, error_of(answer)["type"]) == (504, "outcome_unknown")
        assert (await entry.until_settled()).held == 50
        again = await entry.ask(made)
        assert (again.status, error_of(again)["type"]) == (504, "outcome_unknown")
        assert len(sidecar.started) == 1


async def test_a_booking_refused_before_it_ran_may_be_tried_again() -> None:
    sidecar = ScriptedSidecar("service-1", refuse(NotRunReason.OVERLOADED))
    async with scripted_entry(sidecar, service="booking") as entry:
        made = request("POST", "/booking", b"site 7", idempotency_key="b")
        refused = await entry.ask(made)
        assert (refused.status, error_of(refused)["type"]) == (429, "not_run")
        sidecar.act = whole
        answers = [await entry.ask(made) for _ in range(2)]
        assert [answer.status for answer in answers] == [200, 200]
        assert (await entry.until_settled()).billed == 5
        executed = {start.run for start in sidecar.started}
        assert len(executed) == 2


async def test_a_broken_connection_is_opened_again_under_the_same_run() -> None:
    sidecar = ScriptedSidecar("service-1", accept_only)
    async with scripted_entry(sidecar, service="booking") as entry:
        asked = create_task(entry.ask(request("POST", "/booking", b"site 7")))
        await sidecar.until(lambda: len(sidecar.started) == 1)
        sidecar.act = whole
        await sidecar.drop_connections()
        assert (await asked).status == 200
        first, second = sidecar.started
        assert first.run == second.run
        assert (await entry.until_settled()).billed == 5


async def test_at_its_deadline_a_caller_is_told_and_the_run_is_cancelled() -> None:
    sidecar = ScriptedSidecar("engine-1", accept_only)
    async with scripted_entry(sidecar) as entry:
        answer = await entry.ask(chat_request(x_deadline_ms="300"))
        assert answer.status == 504
        assert error_of(answer)["type"] == "outcome_unknown"
        await sidecar.until(
            lambda: any(
                isinstance(each, RunCancel) for each in sidecar.received_messages
            )
        )
        assert (await entry.until_settled()).billed == 2


async def test_a_caller_that_leaves_while_it_waits_costs_nothing() -> None:
    sidecar = ScriptedSidecar("engine-1", accept_only)
    async with scripted_entry(sidecar, tokens=400) as entry:
        first = create_task(entry.ask(chat_request(x_deadline_ms="2000")))
        await sidecar.until(lambda: len(sidecar.started) == 1)
        second = create_task(entry.ask(chat_request()))

        async def waits() -> bool:
            return len(entry.fleet.ledger.waiters) == 1

        await wait_until(waits, "the second request waits for a settlement")
        second.cancel()
        await gather(second, return_exceptions=True)
        assert (await first).status == 504
        assert (await entry.until_settled()).billed == 2
        assert len(sidecar.started) == 1


async def test_not_run_is_never_said_of_a_booking_that_another_run_claimed() -> None:
    sidecar = ScriptedSidecar("service-1", accept_only)
    async with scripted_entry(sidecar, service="booking") as entry:
        made = request("POST", "/booking", b"site 7", idempotency_key="b")
        asked = create_task(entry.ask(made))
        await sidecar.until(lambda: len(sidecar.started) == 1)
        await sidecar.restart(refuse(NotRunReason.LEAVING))
        assert (await asked).status == 504
        entry.fleet.router.note_leaving("service-1", True)
        again = await entry.ask(made)
        assert (again.status, error_of(again)["type"]) == (504, "outcome_unknown")
        other = await entry.ask(request("POST", "/booking", b"x", idempotency_key="c"))
        assert (other.status, error_of(other)["type"]) == (503, "not_run")


async def test_a_refusal_of_a_booking_reads_the_log_first() -> None:
    sidecar = ScriptedSidecar("service-1", whole)
    async with scripted_entry(sidecar, service="booking") as entry:
        fleet = entry.fleet
        fleet.router.note_leaving("service-1", True)
        made = request("POST", "/booking", b"site 7", idempotency_key="b")
        call = parsed(made)
        claim = Claim(call.key, call.body_digest, RIVAL, RunId("r9"))
        elsewhere = Batch(RIVAL, 1, (claim,))
        client = http_log_client(fleet.settings.log_url, fleet.http)
        await client.append("claims-0", encode_batch(elsewhere))
        answer = await entry.ask(made)
        assert (answer.status, error_of(answer)["type"]) == (504, "outcome_unknown")
        assert sidecar.started == []
        free = request("POST", "/booking", b"site 8", idempotency_key="c")
        assert error_of(await entry.ask(free))["type"] == "not_run"
        page = (await client.read("claims-0", 0, 100, 0)).ok
        batches = [decode_batch(data) for _, data in page.records]
        records = [each for batch in batches for each in getattr(batch, "records", ())]
        voids = {each.key for each in records if isinstance(each, ClaimVoid)}
        assert voids == {call.key, parsed(free).key}


async def test_a_key_that_runs_elsewhere_is_joined_where_a_new_one_is_refused() -> None:
    sidecar = ScriptedSidecar("engine-1", accept_only)
    sidecar.attach = answer_attached
    async with scripted_entry(sidecar, tokens=1) as entry:
        refused = await entry.ask(chat_request(idempotency_key="new"))
        assert (refused.status, error_of(refused)["reason"]) == (
            402,
            "budget_exhausted",
        )
        assert not entry.fleet.pointers.store.pointers
        made = chat_request(idempotency_key="known")
        await entry.fleet.pointers.put(parsed(made), RunId("r1"), "engine-1")
        assert (await entry.ask(made)).status == 200
        entry.fleet.router.is_witness = lambda budget, who: False
        assert (await entry.ask(made)).status == 200
        assert sidecar.started == []


async def test_a_key_whose_run_failed_is_not_called_not_run() -> None:
    sidecar = ScriptedSidecar("engine-1", accept_only)
    sidecar.attach = fail_attached
    async with scripted_entry(sidecar, tokens=1) as entry:
        made = chat_request(idempotency_key="known")
        await entry.fleet.pointers.put(parsed(made), RunId("r1"), "engine-1")
        told = await entry.ask(made)
        assert (told.status, error_of(told)["type"]) == (502, "ran_and_failed")


def answer_attached(attach: RunAttach, send: Send) -> None:
    send(RunAccepted(attach.attachment, RunId("r1")))
    send(RunHead(attach.attachment, 200, "application/json"))
    send(RunChunk(attach.attachment, 0, b"{}"))
    send(RunEnd(attach.attachment, 1, receipt_for(attach)))


def fail_attached(attach: RunAttach, send: Send) -> None:
    send(RunFailed(attach.attachment, "engine died", receipt_for(attach)))


def receipt_for(attach: RunAttach) -> Receipt:
    """Return the receipt of a run that another entry started."""
    grant = GrantId("entry-9#a/1")
    return Receipt(
        attach.key, RunId("r1"), BUDGET, grant, RIVAL, "engine-1", 5, succeeded=True
    )
