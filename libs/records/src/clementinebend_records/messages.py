"""Messages between the processes of the fleet, over msgpack streams.

Both sides of a connection send ``Hello`` first. Amounts are in tokens and
durations in milliseconds. Entries open connections to sidecars and to peer
entries; either side may send at any time. A reply repeats the number in
``question`` of the request.
"""

from typing import Any, NamedTuple

from clementinebend_records.identifiers import (
    GrantId,
    Incarnation,
    RequestKey,
    RunId,
)


class Hello(NamedTuple):
    """Identifies the process at this end of a connection."""

    role: str
    name: str
    incarnation: Incarnation
    zone: str
    schema_version: int
    revision: int
    leaving: bool = False


class Ticket(NamedTuple):
    """The reservation that pays for a run; sent together with the run."""

    budget: str
    grant: GrantId
    holder: Incarnation
    sidecar: Incarnation
    amount: int


class Receipt(NamedTuple):
    """Cost of a finished run, issued by the sidecar that executed it."""

    key: RequestKey
    run: RunId
    budget: str
    grant: GrantId
    holder: Incarnation
    endpoint: str
    amount: int
    succeeded: bool


class RunStart(NamedTuple):
    """Requests that a sidecar executes a request once on its endpoint."""

    run: RunId
    key: RequestKey
    body_digest: str
    ticket: Ticket
    method: str
    path: str
    content_type: str
    body: bytes
    stream: bool
    idempotent: bool
    priority: int
    deadline_ms: int
    token_limit: int


class RunAttach(NamedTuple):
    """Requests the whole answer of the run of ``key``, from its start."""

    attachment: RunId
    key: RequestKey
    body_digest: str


class RunCancel(NamedTuple):
    """Requests to stop and settle a run that no caller waits for."""

    run: RunId


class RunAccepted(NamedTuple):
    """The run is queued on the endpoint; ``run`` echoes the request's id."""

    run: RunId
    executing: RunId


class RunRefused(NamedTuple):
    """The request was not run and will not be: ``reason`` is a ``NotRunReason``."""

    run: RunId
    reason: str
    retry_after_ms: int


class RunHead(NamedTuple):
    """Status and content type of the endpoint's answer."""

    run: RunId
    status: int
    content_type: str


class RunChunk(NamedTuple):
    """A chunk of the answer; ``sequence`` counts from 0 without gaps."""

    run: RunId
    sequence: int
    data: bytes


class RunEnd(NamedTuple):
    """The answer is complete after ``chunks`` chunks."""

    run: RunId
    chunks: int
    receipt: Receipt


class RunFailed(NamedTuple):
    """The run started but did not produce a complete answer.

    ``receipt`` contains its cost; without a receipt the outcome is unknown.
    """

    run: RunId
    message: str
    receipt: Receipt | None = None


class ReceiptsLogged(NamedTuple):
    """These runs are billed on the log: their receipts may be deleted."""

    runs: tuple[RunId, ...]


class LoadReport(NamedTuple):
    """Load of an endpoint; ``sequence`` increases by one with each report."""

    endpoint: str
    incarnation: Incarnation
    sequence: int
    running: int
    queued: int
    slots: int
    leaving: bool
    step_ms: float
    models: tuple[str, ...] = ()


class CacheEvent(NamedTuple):
    """Prefix blocks that an engine stored or evicted; the engine numbers the events."""

    endpoint: str
    sequence: int
    stored: tuple[str, ...]
    evicted: tuple[str, ...]


class CloseNotice(NamedTuple):
    """A holder was closed at ``offset`` of a ledger stream and must be refused."""

    stream: str
    offset: int
    holder: Incarnation


class CloseReply(NamedTuple):
    """A witness refuses ``holder``; ``receipts`` are all it has for that holder.

    The notice must be repeated while ``pending`` runs are still executing.
    """

    holder: Incarnation
    witness: Incarnation
    pending: int
    receipts: tuple[Receipt, ...]


class PointerPut(NamedTuple):
    """Stores where a key runs, unless a pointer for the key exists."""

    question: int
    key: RequestKey
    body_digest: str
    run: RunId
    endpoint: str


class PointerReply(NamedTuple):
    """The stored pointer: the one requested, or an earlier one."""

    question: int
    run: RunId
    endpoint: str
    body_digest: str


class PointerDelete(NamedTuple):
    """The run was not executed: its pointer must be deleted."""

    key: RequestKey
    run: RunId


class ReceiptStoreRequest(NamedTuple):
    """Requests that a peer in another availability zone stores a receipt."""

    question: int
    receipt: Receipt


class ReceiptStored(NamedTuple):
    """The receipt is stored until its holder reports that it is logged."""

    question: int


class TransferRequest(NamedTuple):
    """Requests a part of a peer's grants of ``budget``.

    Less than ``min_amount`` is of no use to the sender.
    """

    question: int
    budget: str
    amount: int
    min_amount: int = 0


class TransferReply(NamedTuple):
    """Transfers a part of a grant, which the sender has already subtracted.

    ``amount`` 0 means that the sender has nothing to transfer.
    """

    question: int
    budget: str
    transfer: GrantId
    grant: GrantId
    sender: Incarnation
    receiver: Incarnation
    amount: int


class ConfigurationRequest(NamedTuple):
    """Requests the configuration that a peer has in force."""

    question: int


class ConfigurationReply(NamedTuple):
    """A configuration: its revision and the encoded state."""

    question: int
    revision: int
    state: bytes


class DrainOrder(NamedTuple):
    """Orders a process to drain: it finishes its work and accepts no more."""

    author: str


Message = (
    Hello
    | RunStart
    | RunAttach
    | RunCancel
    | RunAccepted
    | RunRefused
    | RunHead
    | RunChunk
    | RunEnd
    | RunFailed
    | ReceiptsLogged
    | LoadReport
    | CacheEvent
    | CloseNotice
    | CloseReply
    | PointerPut
    | PointerReply
    | PointerDelete
    | ReceiptStoreRequest
    | ReceiptStored
    | TransferRequest
    | TransferReply
    | ConfigurationRequest
    | ConfigurationReply
    | DrainOrder
)

MESSAGE_TYPES: tuple[type[Any], ...] = (
    Hello,
    RunStart,
    RunAttach,
    RunCancel,
    RunAccepted,
    RunRefused,
    RunHead,
    RunChunk,
    RunEnd,
    RunFailed,
    ReceiptsLogged,
    LoadReport,
    CacheEvent,
    CloseNotice,
    CloseReply,
    PointerPut,
    PointerReply,
    PointerDelete,
    ReceiptStoreRequest,
    ReceiptStored,
    TransferRequest,
    TransferReply,
    ConfigurationRequest,
    ConfigurationReply,
    DrainOrder,
)
"""The index of a type is its tag on the wire: append new types only."""
