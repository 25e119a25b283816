"""Tests of pointers, receipts and closes that entries handle for each other."""

from asyncio import Event, create_task, wait_for
from time import monotonic

import pytest

from clementinebend_declarations.models import ReceiptSafety
from clementinebend_entry.closing import (
    Entries,
    gone_peers,
    holders_to_close,
    open_notices,
)
from clementinebend_entry.heartbeat import (
    HEARTBEATS_PER_SECOND,
    heartbeat_interval,
    silence_limit,
)
from clementinebend_entry.kept_receipts import (
    close_receipts,
    empty_receipts,
    keep_receipt,
)
from clementinebend_entry.peer_liveness import PeerLiveness
from clementinebend_entry.peer_pool import partners
from clementinebend_entry.pointers import (
    POINTER_LIFETIME_S,
    drop_pointer,
    empty_pointers,
    put_pointer,
)
from clementinebend_entry.receipts import ReceiptTracker
from clementinebend_ledger.replay import empty_ledger, replay
from clementinebend_ledger.state import LedgerState
from clementinebend_records.identifiers import GrantId, Incarnation, RequestKey, RunId
from clementinebend_records.messages import (
    PointerDelete,
    PointerPut,
    Receipt,
    ReceiptsLogged,
)
from clementinebend_records.records import Batch, Bill, HolderClose, Record, Scope
from tests.unit.entry.builders import chat_call

KEY = RequestKey("desk/k")
DEAD = Incarnation("entry-2#old")
OWN = Incarnation("entry-1#now")
SIDECAR = Incarnation("engine-1#a")
TIMEOUT_S = 30.0


def put(run: str, key: RequestKey = KEY) -> PointerPut:
    return PointerPut(1, key, "digest", RunId(run), f"endpoint-of-{run}")


def test_first_pointer_remains_until_its_run_drops_it() -> None:
    store, first = put_pointer(empty_pointers(9), put("r1"), 0.0)
    store, second = put_pointer(store, put("r2"), 1.0)
    assert first.run == second.run == "r1"
    store = drop_pointer(store, PointerDelete(KEY, RunId("r2")))
    assert put_pointer(store, put("r2"), 2.0)[1].run == "r1"
    store = drop_pointer(store, PointerDelete(KEY, RunId("r1")))
    assert put_pointer(store, put("r2"), 3.0)[1].run == "r2"


def test_pointers_are_bounded_in_number_and_age() -> None:
    store = empty_pointers(2)
    for number in range(3):
        store, _ = put_pointer(store, put("r", RequestKey(f"k{number}")), 0.0)
    assert list(store.pointers) == ["k1", "k2"]
    store, _ = put_pointer(store, put("r9"), POINTER_LIFETIME_S + 1)
    assert list(store.pointers) == [KEY]


def receipt(run: str, holder: Incarnation = OWN) -> Receipt:
    return Receipt(KEY, RunId(run), "b", GrantId("g"), holder, "engine-1", 5, True)


def test_a_full_store_keeps_what_it_has_and_refuses_closed_holders() -> None:
    store, first = keep_receipt(empty_receipts(1), receipt("r1"))
    store, second = keep_receipt(store, receipt("r2"))
    store, again = keep_receipt(store, receipt("r1"))
    assert (first, second, again) == (True, False, True)
    store, known = close_receipts(store, OWN)
    assert known == (receipt("r1"),)
    store = store._replace(bound=9)
    assert not keep_receipt(store, receipt("r3"))[1]
    assert keep_receipt(store, receipt("r3", DEAD))[1]


class TrackerHarness:
    """A receipt tracker whose replicas store receipts at a peer if ``keeps``."""

    def __init__(self, keeps: bool) -> None:
        self.keeps = keeps
        self.told: list[tuple[str, ReceiptsLogged]] = []
        self.is_up = True
        self.asked = Event()
        self.posted = Event()
        self.tracker = ReceiptTracker("zone-a", self)

    def notify_sidecar(self, endpoint: str, logged: ReceiptsLogged) -> bool:
        self.posted.set()
        if self.is_up:
            self.told.append((endpoint, logged))
        return self.is_up

    def is_cut_off(self, budget: str) -> bool:
        return not self.keeps

    async def keep_at_peer(self, receipt: Receipt) -> bool:
        self.asked.set()
        return self.keeps

    def forget_at_peer(self, run: RunId) -> None:
        pass


@pytest.mark.parametrize(
    ("safety", "zone", "keeps"),
    [
        (ReceiptSafety.TWO_ZONES, "zone-b", False),
        (ReceiptSafety.TWO_ZONES, "zone-a", True),
        (ReceiptSafety.TWO_HOSTS, "zone-a", False),
    ],
)
async def test_receipt_is_safe_in_two_zones_or_by_team_setting(
    safety: ReceiptSafety, zone: str, keeps: bool
) -> None:
    call = chat_call(receipt_safety=safety, deadline=monotonic() + TIMEOUT_S)
    assert await wait_for(
        TrackerHarness(keeps).tracker.make_safe(receipt("r1"), call, zone), TIMEOUT_S
    )


async def test_two_zone_team_waits_for_log_without_other_zone() -> None:
    harness = TrackerHarness(keeps=False)
    tracker = harness.tracker
    call = chat_call(
        receipt_safety=ReceiptSafety.TWO_ZONES, deadline=monotonic() + TIMEOUT_S
    )
    assert tracker.unsafe_zone(call) == "zone-a"
    waiting = create_task(tracker.make_safe(receipt("r1"), call, "zone-a"))
    await wait_for(harness.asked.wait(), TIMEOUT_S)
    assert not waiting.done()
    tracker.on_logged(Bill(KEY, RunId("r1"), GrantId("g"), 5))
    assert await wait_for(waiting, TIMEOUT_S)
    late = call._replace(deadline=monotonic())
    assert not await tracker.make_safe(receipt("r2"), late, "zone-a")


async def test_unreachable_sidecars_are_notified_later() -> None:
    harness = TrackerHarness(keeps=True)
    harness.is_up = False
    harness.tracker.expect(KEY, RunId("r1"), "engine-1")
    harness.tracker.expect(KEY, RunId("r0"), "engine-2")
    harness.tracker.on_logged(Bill(KEY, RunId("r1"), GrantId("g"), 5))
    await wait_for(harness.posted.wait(), TIMEOUT_S)
    assert harness.told == []
    harness.is_up = True
    harness.tracker.notify_sidecars()
    assert harness.told == [
        ("engine-1", ReceiptsLogged((RunId("r1"),))),
        ("engine-2", ReceiptsLogged((RunId("r0"),))),
    ]
    harness.tracker.notify_sidecars()
    assert len(harness.told) == 2


def ledger(*records: Record) -> LedgerState:
    return replay(empty_ledger(), 0, Batch(Incarnation("w#1"), 1, records))[0]


def entries(overdue: dict[str, float]) -> Entries:
    return Entries("entry-1", frozenset((OWN,)), (), overdue)


def test_own_predecessors_are_closed_at_once_and_others_when_overdue() -> None:
    before = Incarnation("entry-1#before")
    state = ledger(Scope(OWN), Scope(before), Scope(DEAD))
    assert holders_to_close(state, entries({})) == (before,)
    assert holders_to_close(state, entries({"entry-2": -0.1})) == (before,)
    assert holders_to_close(state, entries({"entry-2": 0.0})) == (before, DEAD)


def test_open_witnesses_are_asked_and_replaced_peers_closed() -> None:
    peer = Incarnation("entry-3#old")
    state = ledger(Scope(DEAD, (SIDECAR,), (peer,)), HolderClose(DEAD, OWN))
    notices = open_notices(state)
    assert {notice.witness for notice in notices} == {SIDECAR, peer}
    assert gone_peers(notices, {"entry-3": peer}, state) == ()
    current = {"entry-3": Incarnation("entry-3#new")}
    assert gone_peers(notices, current, state) == (peer,)


def test_writes_prove_liveness_and_each_close_doubles_limit() -> None:
    peer_liveness = PeerLiveness(("entry-2",), 5.0, 0.0)
    peer_liveness.on_hosts((), 0.0)
    assert peer_liveness.overdue(100.0)["entry-2"] > 0
    peer_liveness.on_written(DEAD, 98.0)
    assert peer_liveness.overdue(100.0)["entry-2"] == -3.0
    peer_liveness.on_close("entry-2")
    assert peer_liveness.overdue(100.0)["entry-2"] == -8.0
    peer_liveness.on_up("entry-2", DEAD, 100.0)
    assert peer_liveness.overdue(1000.0) == {}


def test_partners_span_own_and_other_zones_without_self() -> None:
    zones = {f"entry-{n}": f"zone-{n % 3}" for n in range(20)}
    for name in zones:
        chosen = partners(name, zones)
        assert name not in chosen
        assert {zones[each] == zones[name] for each in chosen} == {True, False}
        assert len(set(chosen)) == len(chosen) == 8


def test_heartbeats_stay_within_a_bounded_rate() -> None:
    assert heartbeat_interval(1) == 1.0
    assert silence_limit(1) == 4.0
    assert 370 / heartbeat_interval(370) == HEARTBEATS_PER_SECOND
