"""``clementinebend-bench demo``: the Zlaté Čísla example, shown and checked.

It ends by itself, with exit code 0 only if what is billed equals what the
endpoints say they executed.
"""

from asyncio import run as run_loop
from json import loads
from pathlib import Path
from sys import stdout
from tempfile import TemporaryDirectory
from typing import Any

from clementinebend_bench.launcher.example_fleet import (
    BOOKING_PATH,
    SMALL_TEAM,
    ZONES,
    ExampleFleet,
)
from clementinebend_bench.launcher.processes import (
    DeadlineError,
    ProcessError,
    running_processes,
    wait_until,
)
from clementinebend_standins.models.text import expected_text

CHAT_PATH = "/v1/chat/completions"
PROMPT = "Which pharmacy in Presov is open on Sunday?"
ANSWER_TOKENS = 60
CUT_ANSWER_TOKENS = 200
BILLING_DEADLINE_S = 60.0
DONE = b"data: [DONE]"
EXIT_OK = 0
EXIT_MISMATCH = 1


class DemoError(Exception):
    """The demo saw something that must never happen, or nothing in time."""


def demo(examples: str = "examples") -> int:
    """Run the example on loopback, check the bill, and show it by team."""
    try:
        with TemporaryDirectory(prefix="clementinebend-demo-") as directory:
            return run_loop(_demo(Path(directory), Path(examples)))
    except (DemoError, DeadlineError, ProcessError) as error:
        _say(f"FAILED: {error}")
        return EXIT_MISMATCH


async def _demo(directory: Path, examples: Path) -> int:
    with running_processes(directory) as processes:
        fleet = ExampleFleet(directory, processes, examples)
        try:
            _say("starting 4 entries, 14 sidecars, and the platform's stand-ins ...")
            await fleet.start()
            await _show_stream(fleet)
            await _show_booking(fleet)
            await _show_refusal(fleet)
            await _show_retry_after_kill(fleet)
            return await _show_bill(fleet)
        finally:
            await fleet.client.close()


async def _show_stream(fleet: ExampleFleet) -> None:
    body = await _ask(fleet, ZONES[0], "presov", "stream-1", ANSWER_TOKENS)
    _check(_text_of(body) == expected_text(PROMPT, ANSWER_TOKENS), "a wrong answer")
    _say(f"1. a streamed answer of {ANSWER_TOKENS} tokens: {_text_of(body)[:48]}...")


async def _show_booking(fleet: ExampleFleet) -> None:
    answers = [await _book(fleet, zone) for zone in ZONES[:2]]
    _check(answers[0] == answers[1], "two answers to one booking")
    rows = await fleet.get_json(f"{fleet.url('call-back-1-endpoint')}/ran")
    _check([row["count"] for row in rows] == [1], f"a booking ran so often: {rows}")
    _say("2. a booking sent through two entries: executed once, one answer")


async def _show_refusal(fleet: ExampleFleet) -> None:
    before = len(await fleet.executed_costs())
    answer = await fleet.ask(ZONES[1], SMALL_TEAM, CHAT_PATH, _chat(400), "refused-1")
    error = loads(answer.body)["error"]
    _check(answer.status == 402 and error["type"] == "not_run", f"told {error}")
    _check(len(await fleet.executed_costs()) == before, "a refused call ran")
    _say(f"3. over budget: {answer.status} {error['reason']}, not run and not billed")


async def _show_retry_after_kill(fleet: ExampleFleet) -> None:
    content = _chat(CUT_ANSWER_TOKENS)
    opened = await fleet.open(ZONES[2], "zilina", CHAT_PATH, content, "killed-1")
    received = await anext(opened.chunks)
    fleet.processes.kill(fleet.running[fleet.zones[ZONES[2]].name])
    opened.close()
    _check(DONE not in received, "the stream ended before its entry was killed")
    body = await _ask(fleet, ZONES[3], "zilina", "killed-1", CUT_ANSWER_TOKENS)
    whole = expected_text(PROMPT, CUT_ANSWER_TOKENS)
    _check(_text_of(body) == whole, "the retry did not get the whole answer")
    _say("4. an entry was killed mid-stream; the retry got the whole answer")


async def _show_bill(fleet: ExampleFleet) -> int:
    costs = sum((await fleet.executed_costs()).values())
    billed = 0

    async def is_billed() -> bool:
        nonlocal billed
        code, output = await fleet.operate("budget", "show", "--json")
        billed = sum(row["billed"] for row in _budgets(output)) if not code else 0
        return billed == costs

    try:
        await wait_until(is_billed, "all is billed", BILLING_DEADLINE_S)
    except DeadlineError:
        _say(f"FAILED: executed {costs} tokens, billed {billed}")
        return EXIT_MISMATCH
    _, table = await fleet.operate("budget", "show")
    _say(f"5. executed {costs} tokens, billed {billed}: equal\n\n{table}")
    return EXIT_OK


async def _ask(
    fleet: ExampleFleet, zone: str, team: str, key: str, tokens: int
) -> bytes:
    """Return the whole streamed answer."""
    answer = await fleet.ask(zone, team, CHAT_PATH, _chat(tokens), key)
    _check(answer.status == 200 and DONE in answer.body, f"told {answer.body!r}")
    return answer.body


async def _book(fleet: ExampleFleet, zone: str) -> bytes:
    content = {"caller": "+421", "at": "10:00"}
    answer = await fleet.ask(zone, "presov", BOOKING_PATH, content, "booking-1")
    _check(answer.status == 200, f"told {answer.body!r}")
    return answer.body


def _chat(tokens: int) -> dict[str, Any]:
    return {
        "model": "listing-7b",
        "messages": [{"role": "user", "content": PROMPT}],
        "max_tokens": tokens,
        "target_tokens": tokens,
        "stream": True,
    }


def _text_of(body: bytes) -> str:
    """Return the text of all events of a stream."""
    events = (line[6:] for line in body.split(b"\n") if line.startswith(b"data: {"))
    choices = (choice for event in events for choice in loads(event)["choices"])
    return "".join(choice.get("delta", {}).get("content", "") for choice in choices)


def _budgets(output: str) -> list[dict[str, Any]]:
    found = loads(output)
    rows: list[dict[str, Any]] = found["budgets"] if isinstance(found, dict) else found
    return rows


def _check(holds: bool, otherwise: str) -> None:
    if not holds:
        raise DemoError(otherwise)


def _say(text: str) -> None:
    stdout.write(f"{text}\n")
    stdout.flush()
