"""Records that are kept on the platform's log.

State is a pure reduction over these in offset order. Amounts are in tokens.
Fields may be added at the end of a record, with a default; a field never
changes its meaning.
"""

from typing import Any, NamedTuple

from clementinebend_records.identifiers import (
    GrantId,
    Incarnation,
    RequestKey,
    RunId,
)


class TopUp(NamedTuple):
    """Prepaid tokens for a budget; a repeat of ``top_up`` has no effect."""

    budget: str
    top_up: str
    amount: int
    author: str


class Scope(NamedTuple):
    """Adds witnesses to a holder: all who may spend or keep receipts for it.

    A holder uses a witness only after reading this record back, and its
    grants are freed only after each witness has acknowledged its close.
    ``sidecars`` execute its runs; ``peers`` keep its receipts and may be
    given parts of its grants.
    """

    holder: Incarnation
    sidecars: tuple[Incarnation, ...] = ()
    peers: tuple[Incarnation, ...] = ()


class GrantRequest(NamedTuple):
    """Asks for ``amount`` of ``budget``; replay accepts it whole or refuses it."""

    budget: str
    holder: Incarnation
    grant: GrantId
    amount: int


class Bill(NamedTuple):
    """What one request cost: one of these is kept for each request key.

    ``held`` marks an amount that could not be proved spent or unspent: it
    counts against the budget until an operator resolves it.
    """

    key: RequestKey
    run: RunId
    grant: GrantId
    amount: int
    held: bool = False


class Settle(NamedTuple):
    """Bills runs under grants of one budget, by any witness of those runs."""

    budget: str
    bills: tuple[Bill, ...]


class GrantReturn(NamedTuple):
    """Gives back ``amount`` of a grant, by its holder, which keeps the rest."""

    budget: str
    grant: GrantId
    holder: Incarnation
    amount: int


class Transfer(NamedTuple):
    """Tells of a part of a grant that its holder passed to a peer directly.

    Either side may log it; ``transfer`` then is a grant of the receiver.
    """

    budget: str
    transfer: GrantId
    grant: GrantId
    sender: Incarnation
    receiver: Incarnation
    amount: int


class HolderClose(NamedTuple):
    """Ends all grants of a holder incarnation in this shard.

    With ``clean`` the holder itself vouches that nothing of it is in flight
    and all of its bills precede this record, so its remainder is free at once.
    """

    holder: Incarnation
    closed_by: Incarnation
    clean: bool = False


class CloseAck(NamedTuple):
    """A witness refuses the holder from now on; ``Settle`` before it billed all.

    ``lost`` says that the witness incarnation is gone with its memory: it
    refuses for ever, but what it knew is not known, so the remainder stays
    held until an operator resolves it.
    """

    holder: Incarnation
    witness: Incarnation
    lost: bool = False


class HoldResolve(NamedTuple):
    """An operator's decision on an amount held: how much of it is charged.

    ``subject`` is a request key or a grant.
    """

    budget: str
    subject: str
    charge: int
    author: str


class Claim(NamedTuple):
    """Asks to be the only one to execute a non-idempotent call."""

    key: RequestKey
    body_digest: str
    claimant: Incarnation
    run: RunId


class ClaimOutcome(NamedTuple):
    """The answer of a claimed call, so that a retry gets the same one."""

    key: RequestKey
    run: RunId
    status: int
    content_type: str
    body: bytes


class ClaimVoid(NamedTuple):
    """Says that a call did not run and never will under this ``run``.

    Without a claim before it, or from the claimant of ``run``, it frees the
    key for a new claim; otherwise replay ignores it.
    """

    key: RequestKey
    run: RunId
    author: Incarnation


class Change(NamedTuple):
    """One edit of the declarations: ``path`` is set to ``value`` or removed."""

    path: tuple[str, ...]
    value: Any
    remove: bool = False


class Publication(NamedTuple):
    """Changes to the declarations, accepted only on the revision they name.

    ``schema_version`` is that of the declarations; ``digest`` is that of the
    whole document after the changes; ``source`` names the commit they were
    made from.
    """

    base_revision: int
    schema_version: int
    source: str
    author: str
    published_at: str
    changes: tuple[Change, ...]
    digest: str


class SchemaActivation(NamedTuple):
    """Allows publications up to ``schema_version``, on a base revision."""

    base_revision: int
    schema_version: int
    author: str
    published_at: str


class FencingClaim(NamedTuple):
    """Takes the right to order an endpoint's engine; its offset is the number."""

    endpoint: str
    sidecar: Incarnation


class Checkpoint(NamedTuple):
    """State of a stream's replay after ``offset``; equal digests are repeats."""

    stream: str
    offset: int
    digest: str
    state: bytes


Record = (
    TopUp
    | Scope
    | GrantRequest
    | Settle
    | GrantReturn
    | Transfer
    | HolderClose
    | CloseAck
    | HoldResolve
    | Claim
    | ClaimOutcome
    | ClaimVoid
    | Publication
    | SchemaActivation
    | FencingClaim
    | Checkpoint
)

RECORD_TYPES: tuple[type[Any], ...] = (
    TopUp,
    Scope,
    GrantRequest,
    Settle,
    GrantReturn,
    Transfer,
    HolderClose,
    CloseAck,
    HoldResolve,
    Claim,
    ClaimOutcome,
    ClaimVoid,
    Publication,
    SchemaActivation,
    FencingClaim,
    Checkpoint,
)
"""Order is the tag on the wire: add at the end only."""


class Batch(NamedTuple):
    """One append: records of one writer, applied together and once.

    A writer numbers its batches for a stream from 1 and re-appends the same
    batch until it reads it back; replay drops a ``sequence`` not above the
    last one of that writer.
    """

    writer: Incarnation
    sequence: int
    records: tuple[Record, ...]
