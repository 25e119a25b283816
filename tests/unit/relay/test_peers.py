"""What the other entries tell of their load."""

from collections.abc import Callable, Iterable

from clementinebend_records.identifiers import new_incarnation
from clementinebend_relay.announcing import Announcement, Directory
from clementinebend_relay.budgets import Budgets
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_relay.messages import EndpointLoad, LoadMessage, Message
from clementinebend_relay.peers import HEARD_SECONDS, Peers
from clementinebend_relay.witnesses import Witnesses
from clementinebend_routing.sessions import SessionMemory
from clementinebend_transport.client_connection import Address
from tests.unit.relay.mark_world import Clock, FakeLog


class NoRecords:
    """Records of endpoints that no test writes."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        raise AssertionError(name)


def send(message: Message, to: Address) -> None:
    """Lose a message."""


def send_all(message: Message, to: Iterable[Address]) -> None:
    """Lose a message."""


def made_peers(clock: Clock) -> Peers:
    """Return the peers of an entry that nobody has told of any."""
    boot, directory = new_incarnation("entry-0"), Directory()
    witnesses = Witnesses(boot, "z", directory, send, clock)
    budgets = Budgets(boot, (FakeLog([], []),), witnesses, lambda name: False, clock)
    table = EndpointTable(NoRecords(), clock)  # type: ignore[arg-type]
    sessions = SessionMemory()
    return Peers(
        "entry-0", boot, directory, table, budgets, sessions, send, send_all, clock
    )


def test_loads_of_others_add_up_and_the_newest_counts() -> None:
    peers = made_peers(Clock())
    peers.on_load(
        LoadMessage("a", {"e": EndpointLoad(2, {1: 100}), "f": EndpointLoad(1, {})})
    )
    peers.on_load(LoadMessage("b", {"e": EndpointLoad(1, {1: 50})}))
    assert peers.load("e") == EndpointLoad(3, {1: 150})
    peers.on_load(LoadMessage("a", {"e": EndpointLoad(1, {1: 10})}))
    assert peers.load("e") == EndpointLoad(2, {1: 60})
    assert peers.load("f") == EndpointLoad(0, {})


def test_a_stopping_entry_is_no_home() -> None:
    peers = made_peers(Clock())
    for name in ("entry-0", "entry-1"):
        boot = peers.boot if name == peers.name else "b"
        peers.directory.put(name, Announcement(boot, "z", "h", 1))
    parts = range(20)
    peers.on_load(LoadMessage("b", {}))
    assert {peers.home_of(part) for part in parts} == {None, "entry-1"}
    peers.on_load(LoadMessage("b", {}, is_leaving=True))
    assert {peers.home_of(part) for part in parts} == {None}
    peers.on_load(LoadMessage("b", {}))
    peers.resign()
    assert {peers.home_of(part) for part in parts} == {"entry-1"}


def test_a_silent_entry_counts_no_more() -> None:
    clock = Clock()
    peers = made_peers(clock)
    peers.on_load(LoadMessage("a", {"e": EndpointLoad(2, {1: 100})}))
    clock.now += HEARD_SECONDS / 2
    peers.on_load(LoadMessage("b", {"e": EndpointLoad(1, {1: 50})}))
    clock.now += HEARD_SECONDS * 0.75
    peers.forget_silent()
    assert peers.load("e") == EndpointLoad(1, {1: 50})
