"""How evacuations reach entries that cannot read the store, in spite of losses."""

from asyncio import Task, create_task, sleep
from collections.abc import Iterable
from random import Random

import pytest

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_platform_client.keyed_log import KeyedRecord
from clementinebend_relay.evacuations import MAX_ZONES_PER_ANSWER, REQUEST_INTERVAL
from clementinebend_relay.messages import (
    EvacuationMessage,
    EvacuationRequestMessage,
    Message,
)
from clementinebend_transport.client_connection import Address
from tests.unit.relay.test_evacuations import KEY, EntryNetwork

SIZES = [4, 30, 400]
SPREAD_SECONDS = 0.5
LOSS = 0.1
DEAD_FRACTION = 0.3
ASKED_SECONDS = 15 * REQUEST_INTERVAL


class LossyNetwork(EntryNetwork):
    """Entries of which some are dead, and datagrams of which some are lost."""

    def __init__(self, count: int, loss: float, dead: frozenset[int]) -> None:
        self.random = Random(count)
        self.loss = loss
        self.dead = dead
        super().__init__(count)

    def send_all(self, message: Message, addresses: Iterable[Address]) -> None:
        """Deliver a message to each live entry, or lose it."""
        for address in addresses:
            _, _, high, low = address.host.split(".")
            number = int(high) * 250 + int(low)
            if number in self.dead or self.random.random() < self.loss:
                continue
            if isinstance(message, EvacuationRequestMessage):
                self.evacuations[number].on_request(message)
            else:
                super().send_all(message, (address,))

    def uninformed(self) -> list[int]:
        """Return the live entries that do not know of the evacuation."""
        return [
            number
            for number, each in enumerate(self.evacuations)
            if number not in self.dead and not each.zones()
        ]


@pytest.mark.parametrize("count", SIZES)
def test_a_change_reaches_every_entry_whoever_reads_it(count: int) -> None:
    """Guards against entries that no other forwards a change to."""

    async def uninformed_after(reader: int) -> list[int]:
        network = LossyNetwork(count, 0.0, frozenset())
        network.evacuations[reader].on_record(KeyedRecord(3, KEY, b"{}"))
        await sleep(SPREAD_SECONDS)
        return network.uninformed()

    readers = range(0, count, max(1, count // 5))
    assert not any(run_virtually(uninformed_after(reader)) for reader in readers)


@pytest.mark.parametrize("is_evacuated", [True, False])
@pytest.mark.parametrize("count", SIZES)
def test_entries_cut_off_learn_of_changes_in_spite_of_losses_and_dead_entries(
    count: int, is_evacuated: bool
) -> None:
    """Guards against an entry that misses all datagrams and never learns later."""
    dead = frozenset(Random(count).sample(range(1, count), int(DEAD_FRACTION * count)))

    async def main() -> list[int]:
        network = LossyNetwork(count, LOSS, dead)
        if not is_evacuated:
            for each in network.evacuations:
                each.on_record(KeyedRecord(3, KEY, b"{}"))
            await sleep(SPREAD_SECONDS)
        value = b"{}" if is_evacuated else b""
        network.evacuations[0].on_record(KeyedRecord(5, KEY, value))
        asking: list[Task[None]] = [
            create_task(each.ask_while(lambda: True))
            for number, each in enumerate(network.evacuations)
            if number and number not in dead
        ]
        await sleep(ASKED_SECONDS)
        for task in asking:
            task.cancel()
        live = set(range(count)) - dead
        known = {number for number in live if network.evacuations[number].zones()}
        return sorted(live - known if is_evacuated else known)

    assert run_virtually(main()) == []


async def test_an_entry_that_reads_the_store_asks_nobody() -> None:
    network = LossyNetwork(4, 0.0, frozenset())
    network.evacuations[1].on_record(KeyedRecord(3, KEY, b"{}"))
    network.evacuations[0].statuses.clear()
    task = create_task(network.evacuations[0].ask_while(lambda: False))
    await sleep(0)
    task.cancel()
    assert network.evacuations[0].requests == 0


async def test_only_announced_entries_get_an_answer_of_bounded_size() -> None:
    """Guards against answers to forged requests, and against bursts of datagrams."""
    network = LossyNetwork(2, 0.0, frozenset())
    asked = network.evacuations[1]
    for number in range(3 * MAX_ZONES_PER_ANSWER):
        asked.on_record(KeyedRecord(number, f"{KEY}{number}", b"{}"))
    answers: list[Message] = []
    asked.send_all = lambda message, addresses: answers.append(message)
    asked.on_request(EvacuationRequestMessage("unknown#1"))
    assert not answers
    asked.on_request(EvacuationRequestMessage("entry-0#1"))
    assert len(answers) == MAX_ZONES_PER_ANSWER
    offsets = {each.offset for each in answers if isinstance(each, EvacuationMessage)}
    assert min(offsets) == 2 * MAX_ZONES_PER_ANSWER
