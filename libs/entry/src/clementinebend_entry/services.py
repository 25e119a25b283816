"""The owners of state that an execution talks to."""

from asyncio import Task
from collections.abc import Callable
from typing import NamedTuple

from clementinebend_entry.admission_gate import AdmissionGate
from clementinebend_entry.claims import ClaimsClient
from clementinebend_entry.ledger import Ledger
from clementinebend_entry.pointer_client import PointerClient
from clementinebend_entry.receipts import ReceiptDesk
from clementinebend_entry.router import Router
from clementinebend_entry.sidecar_pool import SidecarPool

Watch = Callable[["Task[None]"], None]


class Services(NamedTuple):
    """All of them; ``watch`` is given tasks that a planned stop waits for."""

    gate: AdmissionGate
    router: Router
    pool: SidecarPool
    ledger: Ledger
    claims: ClaimsClient
    pointers: PointerClient
    receipts: ReceiptDesk
    watch: Watch
