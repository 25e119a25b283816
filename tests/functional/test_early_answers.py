"""Engines that answer an upload at once and break off, or with no valid status."""

from asyncio import gather

import pytest
from expression import Result

from clementinebend_transport.http_client import Answer, HttpFailure
from tests.lib.hasty_engine import PART, HastyEngine
from tests.lib.platform_fleet import Fleet

UPLOAD = b"u" * 3_000_000
CALLS = 6
BROKEN_STATUSES = (502, 504)


async def uploads(
    fleet: Fleet, path: str, ends_first: bool
) -> list[Result[Answer, HttpFailure]]:
    """Return the outcomes of uploads to engines that all break off."""
    await fleet.start(entries=0, engines=0)
    for service in ("desk", "desk", "pool", "pool"):
        engine = HastyEngine(service)
        engine.ends_first = ends_first
        await engine.start()
        fleet.engines.append(engine)
        fleet.store.put("servers", engine.name, engine.entry())
    await fleet.add_entry("edge-0", "z0")
    return await gather(*(fleet.call(path, body=UPLOAD) for _ in range(CALLS)))


@pytest.mark.parametrize("ends_first", [False, True])
@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x", "/stream-once/x"])
async def test_a_part_of_an_answer_is_not_passed_on_as_the_whole(
    fleet: Fleet, path: str, ends_first: bool
) -> None:
    """Guards against an answer that ends early and looks complete to its caller."""
    outcomes = await uploads(fleet, path, ends_first)
    whole = [each.ok for each in outcomes if each.is_ok()]
    assert any(engine.runs for engine in fleet.engines)
    assert {answer.status for answer in whole} <= set(BROKEN_STATUSES)
    assert all(PART not in answer.body for answer in whole)


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x", "/stream-once/x"])
async def test_a_status_that_is_none_is_not_passed_on(fleet: Fleet, path: str) -> None:
    """Guards against an engine in trouble whose status no caller can understand."""
    await fleet.start()
    for engine in fleet.engines:
        engine.fault, engine.failure_status = "fail", 999
    statuses = {(await fleet.call(path)).ok.status for _ in range(CALLS)}
    assert statuses <= set(BROKEN_STATUSES)
