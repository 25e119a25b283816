"""Claims are given up when the log fails, long before a far deadline."""

from asyncio import get_running_loop, timeout

from clementinebend_entry.claims import ClaimsDesk
from clementinebend_entry.shard import LogSettings
from clementinebend_ledger.claims import ClaimWon
from clementinebend_platform_client.tail import TailSettings
from clementinebend_records.identifiers import (
    Incarnation,
    RequestKey,
    RunId,
)
from tests.lib.fake_log import FakeLog
from tests.lib.processes import wait_until

ME = Incarnation("entry-1#a")
KEY, OTHER = RequestKey("team/k"), RequestKey("team/other")
FAR_S = 600.0
PATIENCE_S = 30.0


async def test_a_claim_that_the_log_swallows_is_given_up_at_once() -> None:
    log = FakeLog()
    desk = ClaimsDesk(ME, 1, LogSettings(log.client(ME), ME, TailSettings()))
    deadline = get_running_loop().time() + FAR_S
    async with timeout(PATIENCE_S):
        won = await desk.claim(KEY, "d", RunId("r1"), deadline)
        assert isinstance(won, ClaimWon)
        await log.set(outage=True)
        assert await desk.claim(OTHER, "d", RunId("r2"), deadline) is None
        desk.void(OTHER, RunId("r2"))
        await log.set(outage=False)

        async def is_heard() -> bool:
            return desk.can_claim(OTHER)

        await wait_until(is_heard, "the log is heard again")
        again = await desk.claim(OTHER, "d", RunId("r3"), deadline)
        assert isinstance(again, ClaimWon)
        view = desk.claim_of(OTHER)
        assert view is not None and view.run == "r3"
        await desk.close(1.0)
