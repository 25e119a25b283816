"""Streams whose engines fall silent for a while, at the real entry programs."""

from asyncio import create_task, gather, get_running_loop, sleep
from collections.abc import AsyncIterator
from typing import NamedTuple

import pytest
from h11 import Request as HttpRequest

from clementinebend_transport.client_connection import Address
from clementinebend_transport.exceptions import TruncatedAnswer
from clementinebend_transport.http_types import Request, Response
from tests.lib.platform_engine import EVENTS, EngineStandin, event
from tests.lib.platform_fleet import BODY, HOST, KEY, Fleet
from tests.lib.waiting import until

STREAMS = 12
ENGINES = 4
EVENT_PAUSE = 0.05
SILENT_SECONDS = 1.2
TAKE_OVER_SECONDS = 1.5
"""Longest gap in seconds as a stream goes on elsewhere, on a machine in use by
others."""

OVERLAP_SECONDS = 0.4
"""Longest time in seconds for which two engines work on a stream."""


class StreamSeen(NamedTuple):
    """What a client got of a stream."""

    data: bytes
    longest_gap: float

    @property
    def is_whole(self) -> bool:
        """Whether all events came, each once and in order."""
        return self.data == b"".join(map(event, range(1, EVENTS + 1)))


class SilentEngine(EngineStandin):
    """An engine whose first run of a stream falls silent before one of its events.

    ``silent_before`` is the number of the event, or 0: before the head of its answer;
    ``silent_seconds`` is how long that lasts. With ``refusal`` ``"full"`` or ``"fail"``
    any later run is turned away, or fails. ``made_at`` is when events were made,
    ``left_at`` when runs ended, both by request.
    """

    begun: set[str]
    silent_before = 4
    silent_seconds = SILENT_SECONDS
    refusal = ""

    def __init__(self, service: str, zone: str = "a", version: str = "v1") -> None:
        super().__init__(service, zone, version)
        self.begun = set()
        self.made_at: dict[str, list[float]] = {}
        self.left_at: dict[str, float] = {}

    async def _answer(self, request: Request) -> Response:
        request_id = request.headers.get("x-request-id", "")
        is_later = request_id in self.begun
        if is_later and self.refusal == "full":
            return Response(503, (("x-not-executed", "1"),), b"")
        if is_later and self.refusal == "fail":
            signed = ("x-response-signature", self.name)
            return Response(500, (("x-request-id", request_id), signed), b"failed")
        if not is_later and self.silent_before == 0 and "stream" in request.target:
            self.begun.add(request_id)
            await sleep(self.silent_seconds)
        return await super()._answer(request)

    async def _events(self, request: Request, request_id: str) -> AsyncIterator[bytes]:
        is_first = request_id not in self.begun
        self.begun.add(request_id)
        first = int(request.headers.get("last-event-id", 0)) + 1
        made_at = self.made_at.setdefault(request_id, [])
        try:
            for number in range(first, EVENTS + 1):
                if is_first and number == self.silent_before:
                    await sleep(self.silent_seconds)
                await sleep(EVENT_PAUSE)
                made_at.append(get_running_loop().time())
                yield event(number)
        finally:
            self.left_at[request_id] = get_running_loop().time()


async def start(
    fleet: Fleet, before: int, seconds: float, refusal: str
) -> list[SilentEngine]:
    """Start an entry before engines that share what they know of runs."""
    await fleet.start(entries=1, engines=0)
    begun: set[str] = set()
    engines = [SilentEngine("pool") for _ in range(ENGINES)]
    for engine in engines:
        engine.begun = begun
        engine.silent_before = before
        engine.silent_seconds = seconds
        engine.refusal = refusal
        await engine.start()
        fleet.engines.append(engine)
        fleet.store.put("servers", engine.name, engine.entry())
    await sleep(1.0)
    return engines


async def read_stream(fleet: Fleet, number: int) -> StreamSeen:
    """Read a stream as a client does, without another try."""
    headers = {
        "host": HOST,
        "content-length": str(len(BODY)),
        "x-request-id": f"s{number}",
        "x-deadline-ms": "4000",
        "authorization": f"Bearer {KEY}",
        "x-token-usage": "100,24",
        "x-prefix-hash": f"a{number:x}:60,b{number:x}:40",
    }
    request = HttpRequest(method="POST", target="/stream/x", headers=[*headers.items()])
    address = Address("127.0.0.1", fleet.entries[0].port)
    clock = get_running_loop().time
    opened = await fleet.client.send(address, request, BODY, 5.0)
    if opened.is_error():
        return StreamSeen(opened.error.message.encode(), 0.0)
    data, heard_at, longest = b"", clock(), 0.0
    try:
        async for piece in opened.ok.chunks:
            longest, heard_at = max(longest, clock() - heard_at), clock()
            data += piece
    except TruncatedAnswer:
        pass
    return StreamSeen(data, longest)


async def read_streams(fleet: Fleet) -> list[StreamSeen]:
    """Read streams side by side."""
    tasks = [create_task(read_stream(fleet, each)) for each in range(STREAMS)]
    return list(await gather(*tasks))


@pytest.mark.parametrize("before", [0, 1, 4])
@pytest.mark.parametrize("refusal", ["full", "fail"])
async def test_streams_of_silent_engines_are_whole_if_no_other_takes_them(
    fleet: Fleet, before: int, refusal: str
) -> None:
    """Guards against streams that are cut although their engine would go on."""
    await start(fleet, before, SILENT_SECONDS, refusal)
    seen = await read_streams(fleet)
    assert sum(each.is_whole for each in seen) == STREAMS, seen


async def test_streams_of_silent_engines_go_on_once_if_others_are_free(
    fleet: Fleet,
) -> None:
    """Guards against duplicate events, and two engines that go on (ORDER, TWICE)."""
    engines = await start(fleet, 4, SILENT_SECONDS, "")
    seen = await read_streams(fleet)
    assert sum(each.is_whole for each in seen) == STREAMS, seen
    await until(lambda: all_left(engines))
    for number in range(STREAMS):
        request_id = f"s{number}"
        ran = [engine for engine in engines if engine.made_at.get(request_id)]
        first, second = sorted(ran, key=lambda each: each.made_at[request_id][0])
        goes_on_at = second.made_at[request_id][0]
        assert first.left_at[request_id] - goes_on_at < OVERLAP_SECONDS


async def all_left(engines: list[SilentEngine]) -> bool:
    """Tell whether no run is in progress."""
    return all(engine.made_at.keys() <= engine.left_at.keys() for engine in engines)


async def test_streams_of_engines_that_are_silent_for_good_go_on_elsewhere(
    fleet: Fleet,
) -> None:
    """Guards against streams that wait for an engine that is gone."""
    await start(fleet, 4, 60.0, "")
    seen = await read_streams(fleet)
    assert sum(each.is_whole for each in seen) == STREAMS, seen
    assert max(each.longest_gap for each in seen) < TAKE_OVER_SECONDS
