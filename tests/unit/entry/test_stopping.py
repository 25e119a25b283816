"""The wait for bills in a planned stop, while the event loop is late."""

from asyncio import Event, create_task, get_running_loop, sleep
from time import sleep as block
from typing import NamedTuple, cast

import pytest

from clementinebend_entry import stopping
from clementinebend_entry.fleet import Fleet

PATIENCE_SECONDS = 0.02
BLOCKED_AT, BLOCKED_SECONDS = 0.01, 0.05
SETTLED_AT = 0.03


READ_BACK_ITERATIONS = 10
"""Event loop iterations from the arrival of a read-back until bills are settled."""


class LateLedger:
    """A ledger that settles as the event loop is late."""

    def __init__(self) -> None:
        self.settled = Event()

    async def settle_after(self, arrived: Event, iterations: int) -> None:
        """Settle some iterations after a read-back has arrived."""
        await arrived.wait()
        for _ in range(iterations):
            await sleep(0.0)
        self.settled.set()

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


async def test_a_read_back_that_arrives_in_a_late_iteration_counts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its bytes take some iterations to become settled bills."""
    monkeypatch.setattr(stopping, "FLUSH_PATIENCE_S", PATIENCE_SECONDS)
    ledger, loop, arrived = LateLedger(), get_running_loop(), Event()
    loop.call_later(BLOCKED_AT, block, BLOCKED_SECONDS)
    loop.call_later(SETTLED_AT, arrived.set)
    settling = create_task(ledger.settle_after(arrived, READ_BACK_ITERATIONS))
    assert await stopping.flush(cast(Fleet, FleetStandin(ledger)))
    await settling
