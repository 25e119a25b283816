"""Makes receipts safe before the last frame, and reports when they are logged.

A receipt is safe if it is on the log or stored in two availability zones: at the
sidecar and this entry if their zones differ, otherwise also at a peer entry of
another zone. The declarations set for each team whether two hosts of one zone
suffice while no other zone can be reached; losing both hosts then loses the bill.
"""

from asyncio import FIRST_COMPLETED, Future, create_task, get_running_loop, wait
from collections import defaultdict
from time import monotonic
from typing import Protocol

from clementinebend_declarations.models import ReceiptSafety
from clementinebend_entry.calls import Call
from clementinebend_entry.metrics import RECEIPTS_SAFE
from clementinebend_records.identifiers import RequestKey, RunId
from clementinebend_records.messages import Receipt, ReceiptsLogged
from clementinebend_records.records import Bill


class ReceiptReplicas(Protocol):
    """The sidecars and peers that store receipts."""

    def notify_sidecar(self, endpoint: str, logged: ReceiptsLogged) -> bool:
        """Notify a sidecar of logged receipts; false if it is unreachable."""

    def is_cut_off(self, budget: str) -> bool:
        """Return whether neither the log nor a peer of another zone is available."""

    async def keep_at_peer(self, receipt: Receipt) -> bool:
        """Store a receipt at a peer of another zone; false if none stored it."""

    def forget_at_peer(self, run: RunId) -> None:
        """Notify the peer that stores a receipt that it is on the log."""


class ReceiptTracker:
    """Tracks receipts until replay shows their bills."""

    def __init__(self, zone: str, replicas: ReceiptReplicas) -> None:
        self.zone = zone
        self.replicas = replicas
        self.waiting: defaultdict[RequestKey, list[tuple[RunId, str]]]
        self.waiting = defaultdict(list)
        self.logged: dict[RequestKey, Future[None]] = {}
        self.pending_notices: defaultdict[str, list[RunId]] = defaultdict(list)

    def expect(self, key: RequestKey, run: RunId, endpoint: str) -> None:
        """Record which endpoint stores the receipt of a run until its key is billed."""
        self.waiting[key].append((run, endpoint))

    def on_logged(self, bill: Bill) -> None:
        """Handle a bill that is on the log for its request key."""
        future = self.logged.pop(bill.key, None)
        if future is not None and not future.done():
            future.set_result(None)
        for run, endpoint in self.waiting.pop(bill.key, ()):
            self.pending_notices[endpoint].append(run)
            self.replicas.forget_at_peer(run)
        if self.pending_notices:
            get_running_loop().call_soon(self.notify_sidecars)

    def notify_sidecars(self) -> None:
        """Notify sidecars of receipts that they may delete."""
        for endpoint, runs in tuple(self.pending_notices.items()):
            if self.replicas.notify_sidecar(endpoint, ReceiptsLogged(tuple(runs))):
                del self.pending_notices[endpoint]

    def unsafe_zone(self, call: Call) -> str:
        """Return the zone in which receipts cannot be made safe; empty if none."""
        needs_zones = call.receipt_safety is ReceiptSafety.TWO_ZONES
        return (
            self.zone if needs_zones and self.replicas.is_cut_off(call.budget) else ""
        )

    async def make_safe(self, receipt: Receipt, call: Call, zone: str) -> bool:
        """Wait until a receipt is safe; false if the call's deadline passes first.

        Teams that accept two hosts of one zone do not wait for the log.
        """
        if zone != self.zone:
            return _count_safe("zones")
        logged = self.logged_future(receipt.key)
        kept = create_task(self.replicas.keep_at_peer(receipt))
        await wait((logged, kept), return_when=FIRST_COMPLETED)
        if kept.done() and kept.result():
            return _count_safe("peer")
        if logged.done():
            kept.cancel()
            return _count_safe("log")
        if call.receipt_safety is ReceiptSafety.TWO_HOSTS:
            return _count_safe("hosts")
        left = max(0.0, call.deadline - monotonic())
        await wait((logged,), timeout=left)
        return _count_safe("log") if logged.done() else False

    def logged_future(self, key: RequestKey) -> Future[None]:
        """Return the future that completes when replay shows a key's bill."""
        if key not in self.logged:
            self.logged[key] = get_running_loop().create_future()
        return self.logged[key]


def _count_safe(place: str) -> bool:
    RECEIPTS_SAFE.labels(place).inc()
    return True
