"""Messages between the fleet's own processes, over msgpack streams.

Both sides of a connection send ``Hello`` first. Amounts are in tokens and
durations in milliseconds. Entries open connections to sidecars and to peer
entries; either side may send at any time.
"""

from typing import Any, NamedTuple

from clementinebend_records.identifiers import (
    GrantId,
    Incarnation,
    RequestKey,
    RunId,
)


class Hello(NamedTuple):
    """Names the process at this end of a connection."""

    role: str
    name: str
    incarnation: Incarnation
    zone: str
    schema_version: int
    revision: int
    leaving: bool = False


class Ticket(NamedTuple):
    """The reservation that pays for a run; it travels with the run."""

    budget: str
    grant: GrantId
    holder: Incarnation
    sidecar: Incarnation
    amount: int


class Receipt(NamedTuple):
    """What a finished run cost, from the sidecar that executed it."""

    key: RequestKey
    run: RunId
    budget: str
    grant: GrantId
    holder: Incarnation
    endpoint: str
    amount: int
    succeeded: bool


class RunStart(NamedTuple):
    """Asks a sidecar to execute a request once on its endpoint."""

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
    """Asks for the whole answer of a key's run, from its start."""

    attachment: RunId
    key: RequestKey
    body_digest: str


class RunCancel(NamedTuple):
    """Says that nobody waits for the run any more: stop it and settle."""

    run: RunId


class RunAccepted(NamedTuple):
    """The run is queued on the endpoint; ``run`` echoes the request's id."""

    run: RunId
    executing: RunId


class RunRefused(NamedTuple):
    """The request did not run here and will not: ``reason`` is a ``NotRunReason``."""

    run: RunId
    reason: str
    retry_after_ms: int


class RunHead(NamedTuple):
    """Status and content type of the endpoint's answer."""

    run: RunId
    status: int
    content_type: str


class RunChunk(NamedTuple):
    """A piece of the answer; ``sequence`` counts from 0 without a gap."""

    run: RunId
    sequence: int
    data: bytes


class RunEnd(NamedTuple):
    """The answer is whole after ``chunks`` pieces."""

    run: RunId
    chunks: int
    receipt: Receipt


class RunFailed(NamedTuple):
    """The run began and did not give a whole answer.

    ``receipt`` says what it cost; without one the outcome is unknown.
    """

    run: RunId
    message: str
    receipt: Receipt | None = None


class ReceiptsLogged(NamedTuple):
    """These runs are billed on the log: their receipts need no more keeping."""

    runs: tuple[RunId, ...]


class LoadReport(NamedTuple):
    """Load of an endpoint; ``sequence`` rises by one with each report."""

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
    """Prefix blocks that an engine stored or evicted; numbered by the engine."""

    endpoint: str
    sequence: int
    stored: tuple[str, ...]
    evicted: tuple[str, ...]


class CloseNotice(NamedTuple):
    """A holder is closed at ``offset`` of a ledger stream: refuse it."""

    stream: str
    offset: int
    holder: Incarnation


class CloseReply(NamedTuple):
    """A witness refuses ``holder``; ``bills`` is all it knows under it.

    While ``pending`` runs are still executing, the notice is to be repeated.
    """

    holder: Incarnation
    witness: Incarnation
    pending: int
    receipts: tuple[Receipt, ...]


class PointerPut(NamedTuple):
    """Records where a key runs, unless a pointer for it is there already."""

    question: int
    key: RequestKey
    body_digest: str
    run: RunId
    endpoint: str


class PointerReply(NamedTuple):
    """The pointer that stands: the asker's own, or an earlier one."""

    question: int
    run: RunId
    endpoint: str
    body_digest: str


class PointerDelete(NamedTuple):
    """The run did not take place: remove its pointer."""

    key: RequestKey
    run: RunId


class ReceiptStoreRequest(NamedTuple):
    """Asks a peer in another availability zone to keep a receipt."""

    question: int
    receipt: Receipt


class ReceiptStored(NamedTuple):
    """The receipt is kept until its holder says that it is logged."""

    question: int


class TransferRequest(NamedTuple):
    """Asks a peer for a part of its grants of ``budget``.

    Less than ``min_amount`` is of no use to the sender.
    """

    question: int
    budget: str
    amount: int
    min_amount: int = 0


class TransferReply(NamedTuple):
    """Passes a part of a grant; the sender has subtracted it already.

    ``amount`` 0 means that nothing can be spared.
    """

    question: int
    budget: str
    transfer: GrantId
    grant: GrantId
    sender: Incarnation
    receiver: Incarnation
    amount: int


class ConfigurationRequest(NamedTuple):
    """Asks a peer for the configuration it has in force."""

    question: int


class ConfigurationReply(NamedTuple):
    """A configuration checkpoint: revision, and the state's encoding."""

    question: int
    revision: int
    state: bytes


class DrainOrder(NamedTuple):
    """Tells a process to leave: it takes no new work and ends its own."""

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
"""Order is the tag on the wire: add at the end only."""
