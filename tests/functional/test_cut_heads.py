"""Engines that end in the middle of the head of an answer."""

from itertools import product

import pytest

from tests.functional.test_bare_answers import start
from tests.lib.platform_fleet import Fleet

FRAMINGS = (
    "content-length: 12\r\n",
    "content-length: 0\r\n",
    "transfer-encoding: chunked\r\n",
    "",
)
SHORTEST, STEP = 1, 7
"""Bytes of the shortest head, and how much longer each next one is."""

LONGEST = 106
"""At least the bytes of any head of the stand-in engine, which ends before the last."""


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x", "/stream-once/x"])
async def test_no_caller_gets_a_success_for_a_cut_head(
    fleet: Fleet, path: str, resets: bool
) -> None:
    """Guards against an empty body framed as whole, and against a whole short one."""
    engines = await start(fleet, bare=2)
    for framing, size in product(FRAMINGS, range(SHORTEST, LONGEST, STEP)):
        for engine in engines:
            engine.framing, engine.head_bytes = framing, size
            engine.resets = resets
        answer = await fleet.call(path, body=f"{framing} {size}".encode())
        assert answer.is_error() or answer.ok.status >= 500, (framing, size, answer)
    assert sum(engine.runs.total() for engine in engines) > 0
