"""Makes receipts safe before the last frame, and tells when they are logged.

A receipt is safe on the log, or in two availability zones: with the sidecar
and this entry if these differ, else with a peer entry of another zone. The
declarations choose for each team whether two hosts of one zone will do while
no other zone can be reached; a loss of both then costs one bill.
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
    """Where receipts are kept."""

    def notify_sidecar(self, endpoint: str, logged: ReceiptsLogged) -> bool:
        """Tell a sidecar which receipts are on the log; false if out of reach."""

    def is_cut_off(self, budget: str) -> bool:
        """Return whether a receipt cannot leave this availability zone."""

    async def keep_at_peer(self, receipt: Receipt) -> bool:
        """Have a peer of another zone keep a receipt."""

    def forget_at_peer(self, run: RunId) -> None:
        """Tell the peer that keeps a receipt that it is on the log."""


class ReceiptTracker:
    """Knows which receipts wait for their bill to be read back."""

    def __init__(self, zone: str, replicas: ReceiptReplicas) -> None:
        self.zone = zone
        self.replicas = replicas
        self.waiting: defaultdict[RequestKey, list[tuple[RunId, str]]]
        self.waiting = defaultdict(list)
        self.logged: dict[RequestKey, Future[None]] = {}
        self.pending_notices: defaultdict[str, list[RunId]] = defaultdict(list)

    def expect(self, key: RequestKey, run: RunId, endpoint: str) -> None:
        """Remember who keeps the receipt of a run until its key is billed."""
        self.waiting[key].append((run, endpoint))

    def on_logged(self, bill: Bill) -> None:
        """Take in that a key is billed on the log."""
        future = self.logged.pop(bill.key, None)
        if future is not None and not future.done():
            future.set_result(None)
        for run, endpoint in self.waiting.pop(bill.key, ()):
            self.pending_notices[endpoint].append(run)
            self.replicas.forget_at_peer(run)
        if self.pending_notices:
            get_running_loop().call_soon(self.notify_sidecars)

    def notify_sidecars(self) -> None:
        """Tell sidecars which receipts need no more keeping."""
        for endpoint, runs in tuple(self.pending_notices.items()):
            if self.replicas.notify_sidecar(endpoint, ReceiptsLogged(tuple(runs))):
                del self.pending_notices[endpoint]

    def unsafe_zone(self, call: Call) -> str:
        """Return the zone whose receipts could not be made safe; empty if none."""
        needs_zones = call.receipt_safety is ReceiptSafety.TWO_ZONES
        return (
            self.zone if needs_zones and self.replicas.is_cut_off(call.budget) else ""
        )

    async def make_safe(self, receipt: Receipt, call: Call, zone: str) -> bool:
        """Return once a receipt is safe; false if that cannot be had in time."""
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
        """Return the future of a key's bill being read back."""
        if key not in self.logged:
            self.logged[key] = get_running_loop().create_future()
        return self.logged[key]


def _count_safe(place: str) -> bool:
    RECEIPTS_SAFE.labels(place).inc()
    return True
