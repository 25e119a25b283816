"""The engine over HTTP: answers, cancel, resume, KV transfer, faults."""

from collections.abc import Mapping
from typing import Any

import pytest

from clementinebend_standins.apps.batcher import EngineFaults
from clementinebend_standins.apps.engine import EngineSettings, engine_handler
from clementinebend_standins.models.text import expected_text, prompt_tokens
from clementinebend_transport.http_server import Handler
from tests.lib.http_calls import Caller, Streamed, read_events, serving
from tests.lib.processes import wait_until

PROMPT = "Ktorá lekáreň v Prešove má v nedeľu otvorené? " * 5
CHAT = "/v1/chat/completions"
TEXT = "/v1/completions"


def engine(**settings: Any) -> Handler:
    faults = EngineFaults(step_ms=0)
    return engine_handler(EngineSettings(models=("m",), **settings), faults)


def body(tokens: int, **fields: Any) -> dict[str, Any]:
    return {
        "model": "m",
        "prompt": PROMPT,
        "messages": [{"role": "user", "content": PROMPT}],
        "max_tokens": tokens,
        "target_tokens": 1000,
        **fields,
    }


async def stream(
    caller: Caller, path: str, content: Mapping[str, Any] | None, run: str = "r"
) -> Streamed:
    called = await caller.call("POST", path, content, {"x-run-id": run})
    assert called.status == 200, called
    return read_events(called.body)


def streamed_body(tokens: int) -> dict[str, Any]:
    return body(tokens, stream=True, stream_options={"include_usage": True})


async def row_of(caller: Caller, run: str) -> dict[str, Any]:
    rows: list[dict[str, Any]] = await caller.get("/ran")
    return next(row for row in rows if row["run"] == run)


async def until_generated(caller: Caller, run: str, tokens: int) -> None:
    async def generated() -> bool:
        rows = await caller.get("/ran")
        return any(
            row["run"] == run and row["completion_tokens"] >= tokens for row in rows
        )

    await wait_until(generated, f"{run} has {tokens} tokens")


@pytest.mark.parametrize("path", [CHAT, TEXT])
async def test_streamed_and_whole_answers_are_the_expected_text(path: str) -> None:
    async with serving(engine()) as caller:
        streamed = await stream(caller, path, streamed_body(10))
        answer = (await caller.call("POST", path, body(10))).json()
        expected = expected_text(PROMPT, 10)
        assert streamed.is_whole
        assert (streamed.text, streamed.reason) == (expected, "length")
        choice = answer["choices"][0]
        assert (choice.get("text") or choice["message"]["content"]) == expected
        for usage in (streamed.usage, answer["usage"], await row_of(caller, "r")):
            assert usage is not None
            assert usage["prompt_tokens"] == prompt_tokens(PROMPT)
            assert usage["completion_tokens"] == 10


async def test_a_cancelled_stream_ends_with_its_usage_but_not_as_whole() -> None:
    async with serving(engine(tokens_per_chunk=1)) as caller:
        await caller.set_faults(hang=True)
        opened = await caller.client.open(
            "POST",
            caller.url + CHAT,
            headers=(("x-run-id", "r"),),
            body=b'{"model":"m","messages":[{"content":"q"}],"target_tokens":1000000,'
            b'"stream":true,"stream_options":{"include_usage":true}}',
        )
        assert opened.is_ok()
        await caller.set_faults(hang=False)
        await until_generated(caller, "r", 3)
        cancelled = (await caller.call("POST", "/runs/r/cancel")).json()
        chunks = [chunk async for chunk in opened.ok.chunks]
        streamed = read_events(b"".join(chunks))
        assert (streamed.reason, streamed.is_whole) == ("abort", False)
        assert streamed.usage is not None
        tokens = streamed.usage["completion_tokens"]
        assert streamed.text == expected_text("q", tokens)
        assert cancelled["status"] == "cancelled"
        assert cancelled["completion_tokens"] == tokens
        assert (await caller.call("POST", "/runs/r/cancel")).json() == cancelled


async def test_a_stream_resumes_from_a_token_here_and_on_another_engine() -> None:
    async with serving(engine()) as first, serving(engine()) as second:
        await stream(first, CHAT, streamed_body(10))
        rest = expected_text(PROMPT, 10).removeprefix(expected_text(PROMPT, 7))
        again = await stream(first, "/runs/r/resume?from=7", None)
        exported = await first.call("GET", "/kv/r")
        assert (await second.call("PUT", "/kv/moved", exported.body)).status == 200
        moved = await stream(second, "/runs/moved/resume?from=7", None)
        assert (again.text, again.is_whole) == (rest, True)
        assert (moved.text, moved.is_whole) == (rest, True)
        assert (await first.call("GET", "/kv/none")).status == 404


async def test_what_was_refused_did_not_run() -> None:
    async with serving(engine()) as caller:
        await caller.set_faults(reject=1)
        refusals = {
            503: body(1),
            400: body(0),
            404: body(1, model="other"),
        }
        for status, content in refusals.items():
            assert (await caller.call("POST", CHAT, content)).status == status
        assert await caller.get("/ran") == []
        await stream(caller, CHAT, streamed_body(2))
        repeated = await caller.call("POST", CHAT, body(2), {"x-run-id": "r"})
        assert repeated.status == 409
        assert len(await caller.get("/ran")) == 1


async def test_a_truncated_answer_has_no_end_marker() -> None:
    async with serving(engine()) as caller:
        await caller.set_faults(truncate=1)
        streamed = await stream(caller, CHAT, streamed_body(10))
        assert streamed.text == expected_text(PROMPT, 4)
        assert (streamed.reason, streamed.usage, streamed.is_whole) == (
            None,
            None,
            False,
        )


async def test_load_reports_lag_and_cache_events_are_numbered() -> None:
    async with serving(engine(report_lag_ms=3_600_000)) as caller:
        await caller.set_faults(hang=True)
        call = caller.client.open(
            "POST",
            caller.url + CHAT,
            body=b'{"model":"m","messages":[],"stream":true}',
        )
        opened = await call
        assert opened.is_ok()
        assert (await caller.get("/load"))["queued"] == 0
        await caller.set_faults(hang=False)
        await stream(caller, CHAT, streamed_body(1))
        events = (await caller.get("/cache-events?since=0"))["events"]
        assert [event["sequence"] for event in events] == [1]
        assert len(events[0]["stored"]) == len(PROMPT.encode()) // 64
        assert (await caller.get("/cache-events?since=1")) == {"events": []}
        await caller.set_faults(event_lag_ms=3_600_000)
        assert (await caller.get("/cache-events?since=0")) == {"events": []}


async def test_orders_change_what_is_served_and_fenced_engines_check_them() -> None:
    load = {"fencing": 5, "action": "load", "model": "n"}
    unload = {"fencing": 4, "action": "unload", "model": "n"}
    for fenced, status in ((True, 409), (False, 200)):
        async with serving(engine(fenced=fenced)) as caller:
            called = await caller.call("POST", "/orders", load)
            assert called.json()["models"] == ["m", "n"]
            assert (await caller.call("POST", "/orders", unload)).status == status
            executed = (await caller.get("/orders"))["executed"]
            assert len(executed) == (1 if fenced else 2)
            unknown = {"fencing": 6, "action": "dance"}
            assert (await caller.call("POST", "/orders", unknown)).status == 400
