"""Evacuated zones, as learned from the store and from other entries."""

from asyncio import get_running_loop, sleep
from collections.abc import Iterable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_platform.records import PlatformRecords
from clementinebend_platform_client.keyed_log import KeyedRecord
from clementinebend_relay.discovery import Announcement, Directory
from clementinebend_relay.evacuations import MAX_KNOWN_ZONES, Evacuations
from clementinebend_relay.messages import EvacuationMessage, Message
from clementinebend_transport.client_connection import Address

KEY = "evacuate/a"


class EntryNetwork:
    """Entries that exchange evacuation messages; each datagram takes 1 ms."""

    def __init__(self, count: int) -> None:
        self.directory = Directory()
        self.evacuations = [self.add_entry(number) for number in range(count)]
        self.datagrams = 0

    def add_entry(self, number: int) -> Evacuations:
        """Announce an entry and return its evacuations."""
        boot = f"entry-{number}#1"
        item = Announcement(boot, "z", f"10.0.{number // 250}.{number % 250}", 7)
        self.directory.put(f"entry-{number}", item)
        return Evacuations(
            boot, PlatformRecords(), self.directory, self.send_all, lambda *_: None
        )

    def send_all(self, message: Message, addresses: Iterable[Address]) -> None:
        """Deliver a message after the delay of a datagram."""
        assert isinstance(message, EvacuationMessage)
        for address in addresses:
            self.datagrams += 1
            _, _, high, low = address.host.split(".")
            receiver = self.evacuations[int(high) * 250 + int(low)]
            get_running_loop().call_later(0.001, receiver.on_message, message)


def isolated_entry() -> Evacuations:
    """Return the evacuations of an entry that knows no other entry."""
    return Evacuations(
        "e#1", PlatformRecords(), Directory(), lambda *_: None, lambda *_: None
    )


async def after_records(*records: tuple[int, str, bytes]) -> Evacuations:
    """Return the evacuations of an entry that has read ``records``."""
    evacuations = isolated_entry()
    for record in records:
        evacuations.on_record(KeyedRecord(*record))
    return evacuations


@pytest.mark.parametrize("value", [b"{}", b"\xff not to be read", b"[1]", b"null"])
async def test_any_record_evacuates_its_zone_until_it_is_removed(value: bytes) -> None:
    """Guards against treating an undecodable record as a tombstone."""
    evacuations = await after_records((3, KEY, value))
    assert evacuations.zones() == {"a"}
    evacuations.on_record(KeyedRecord(4, KEY, b""))
    assert evacuations.zones() == set()


async def test_records_of_other_kinds_and_without_a_zone_evacuate_nothing() -> None:
    evacuations = await after_records((1, "config", b"{}"), (2, "evacuate/", b"{}"))
    assert evacuations.zones() == set()


async def test_a_snapshot_without_the_record_ends_the_evacuation() -> None:
    evacuations = await after_records((3, KEY, b"{}"))
    evacuations.on_snapshot(frozenset(("config", KEY)), 9)
    assert evacuations.zones() == {"a"}
    evacuations.on_snapshot(frozenset(("config",)), 9)
    assert evacuations.zones() == set()


async def test_a_snapshot_older_than_the_record_ends_nothing() -> None:
    evacuations = await after_records((9, KEY, b"{}"))
    for end in (0, 9, 10):
        evacuations.on_snapshot(frozenset(("config",)), end)
    assert evacuations.zones() == {"a"}


async def test_a_message_older_than_the_known_status_is_ignored() -> None:
    evacuations = await after_records((3, KEY, b"{}"), (7, KEY, b""))
    item = Announcement("other#1", "z", "10.0.0.9", 7)
    evacuations.directory.put("other", item)
    evacuations.on_message(EvacuationMessage("other#1", "a", 3, True))
    assert evacuations.zones() == set()
    evacuations.on_message(EvacuationMessage("other#1", "a", 8, True))
    assert evacuations.zones() == {"a"}


async def test_a_message_of_an_unknown_process_is_ignored() -> None:
    evacuations = isolated_entry()
    evacuations.on_message(EvacuationMessage("other#1", "a", 8, True))
    assert evacuations.zones() == set()


@given(
    st.lists(
        st.tuples(st.text(max_size=300), st.integers(-5, 2**70), st.booleans()),
        max_size=20,
    )
)
def test_arbitrary_messages_of_entries_raise_no_error(
    messages: list[tuple[str, int, bool]],
) -> None:
    async def main() -> Evacuations:
        evacuations = isolated_entry()
        item = Announcement("other#1", "z", "10.0.0.9", 7)
        evacuations.directory.put("other", item)
        for message in messages:
            evacuations.on_message(EvacuationMessage("other#1", *message))
        return evacuations

    assert all(0 < len(zone) <= 200 for zone in run_virtually(main()).zones())


async def test_the_number_of_zones_learned_from_messages_is_bounded() -> None:
    evacuations = isolated_entry()
    evacuations.directory.put("other", Announcement("other#1", "z", "10.0.0.9", 7))
    for number in range(MAX_KNOWN_ZONES + 50):
        evacuations.on_message(EvacuationMessage("other#1", f"z{number}", 1, True))
    assert len(evacuations.statuses) == MAX_KNOWN_ZONES


@pytest.mark.parametrize("count", [30, 400])
def test_evacuations_spread_to_entries_that_cannot_read_the_store(
    count: int,
) -> None:
    """Only one entry in ten reads the store; the total of datagrams is bounded."""

    async def main() -> EntryNetwork:
        entries = EntryNetwork(count)
        for number in range(0, count, 10):
            record = KeyedRecord(3, KEY, b"{}")
            entries.evacuations[number].on_record(record)
        await sleep(0.5)
        return entries

    entries = run_virtually(main())
    informed = sum(bool(each.zones()) for each in entries.evacuations)
    assert informed >= 0.95 * count
    assert entries.datagrams <= 4 * count
