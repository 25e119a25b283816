"""The wait for bills in a planned stop, while the event loop is late."""

from asyncio import Event, get_running_loop
from time import sleep as block
from typing import NamedTuple, cast

import pytest

from clementinebend_entry import stopping
from clementinebend_entry.fleet import Fleet

PATIENCE_SECONDS = 0.02
BLOCKED_AT, BLOCKED_SECONDS = 0.01, 0.05
SETTLED_AT = 0.03


class LateLedger:
    """A ledger that settles as the event loop is late."""

    def __init__(self) -> None:
        self.settled = Event()

    @property
    def is_settled(self) -> bool:
        return self.settled.is_set()

    async def until_settled(self) -> None:
        await self.settled.wait()


class FleetStandin(NamedTuple):
    """What the wait needs of a fleet."""

    ledger: LateLedger


@pytest.mark.parametrize("settles", [True, False])
async def test_bills_settled_in_a_late_iteration_count(
    settles: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(stopping, "FLUSH_PATIENCE_S", PATIENCE_SECONDS)
    ledger, loop = LateLedger(), get_running_loop()
    loop.call_later(BLOCKED_AT, block, BLOCKED_SECONDS)
    if settles:
        loop.call_later(SETTLED_AT, ledger.settled.set)
    assert await stopping.flush(cast(Fleet, FleetStandin(ledger))) == settles
