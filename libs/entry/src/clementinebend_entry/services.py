"""The stateful components that an execution uses."""

from asyncio import Task
from collections.abc import Callable
from typing import NamedTuple

from clementinebend_entry.admission_gate import AdmissionGate
from clementinebend_entry.claims import ClaimsClient
from clementinebend_entry.ledger import Ledger
from clementinebend_entry.pointer_client import PointerClient
from clementinebend_entry.receipts import ReceiptTracker
from clementinebend_entry.router import Router
from clementinebend_entry.sidecar_pool import SidecarPool

WatchTask = Callable[["Task[None]"], None]


class Services(NamedTuple):
    """The components; ``watch`` registers tasks that a graceful stop waits for."""

    gate: AdmissionGate
    router: Router
    pool: SidecarPool
    ledger: Ledger
    claims: ClaimsClient
    pointers: PointerClient
    receipts: ReceiptTracker
    watch: WatchTask
