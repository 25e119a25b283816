"""Records on the platform's log.

State is a pure reduction over the records in offset order. Amounts are in
tokens. New fields may be appended to a record with a default; the meaning of a
field never changes.
"""

from typing import Any, NamedTuple

from clementinebend_records.identifiers import (
    GrantId,
    Incarnation,
    RequestKey,
    RunId,
)


class TopUp(NamedTuple):
    """Prepaid tokens of a budget; a repeated ``top_up`` id has no effect."""

    budget: str
    top_up: str
    amount: int
    author: str


class Scope(NamedTuple):
    """Adds witnesses of a holder: processes that spend or store receipts for it.

    A holder uses a witness only after reading this record back, and its
    grants are freed only after each witness has acknowledged its close.
    ``sidecars`` execute its runs; ``peers`` store its receipts and may receive
    parts of its grants.
    """

    holder: Incarnation
    sidecars: tuple[Incarnation, ...] = ()
    peers: tuple[Incarnation, ...] = ()


class GrantRequest(NamedTuple):
    """Requests ``amount`` of ``budget``; replay grants the whole amount or nothing."""

    budget: str
    holder: Incarnation
    grant: GrantId
    amount: int


class Bill(NamedTuple):
    """Cost of one request; one bill is kept for each request key.

    ``held`` marks an amount for which neither use nor non-use could be proved; it
    counts against the budget until an operator resolves it.
    """

    key: RequestKey
    run: RunId
    grant: GrantId
    amount: int
    held: bool = False


class Settle(NamedTuple):
    """Bills for runs under grants of one budget, written by any witness of them."""

    budget: str
    bills: tuple[Bill, ...]


class GrantReturn(NamedTuple):
    """Returns ``amount`` of a grant to the budget; the holder keeps the remainder."""

    budget: str
    grant: GrantId
    holder: Incarnation
    amount: int


class Transfer(NamedTuple):
    """Records a part of a grant that its holder sent to a peer directly.

    Either side may write it; ``transfer`` then is a grant of the receiver.
    """

    budget: str
    transfer: GrantId
    grant: GrantId
    sender: Incarnation
    receiver: Incarnation
    amount: int


class HolderClose(NamedTuple):
    """Ends all grants of a holder incarnation in this shard.

    With ``clean`` the holder itself declares that it has no runs in flight and
    that all its bills precede this record, so its remainder is freed at once.
    """

    holder: Incarnation
    closed_by: Incarnation
    clean: bool = False


class CloseAck(NamedTuple):
    """A witness refuses the holder from now on and has billed all of its runs.

    The bills are in ``Settle`` records before this one. ``lost`` means that the
    witness incarnation ended and its memory is lost: it accepts nothing more, but
    its runs are unknown, so the remainder stays held until an operator resolves it.
    """

    holder: Incarnation
    witness: Incarnation
    lost: bool = False


class HoldResolve(NamedTuple):
    """An operator's decision on how much of a held amount is charged.

    ``subject`` is a request key or a grant.
    """

    budget: str
    subject: str
    charge: int
    author: str


class Claim(NamedTuple):
    """Requests the exclusive right to execute a non-idempotent call."""

    key: RequestKey
    body_digest: str
    claimant: Incarnation
    run: RunId


class ClaimOutcome(NamedTuple):
    """The answer of a claimed call, which retries get as well."""

    key: RequestKey
    run: RunId
    status: int
    content_type: str
    body: bytes


class ClaimVoid(NamedTuple):
    """States that a call was not executed under ``run`` and never will be.

    If no claim precedes it, or if the claimant of ``run`` wrote it, it frees the
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
    """Changes to the declarations, accepted only if the base revision is in force.

    ``schema_version`` is the version of the declarations. ``digest`` is the digest
    of the whole document after the changes. ``source`` names the commit that the
    changes were made from.
    """

    base_revision: int
    schema_version: int
    source: str
    author: str
    published_at: str
    changes: tuple[Change, ...]
    digest: str


class SchemaActivation(NamedTuple):
    """Allows publications up to ``schema_version`` if the base revision is in force."""

    base_revision: int
    schema_version: int
    author: str
    published_at: str


class FencingClaim(NamedTuple):
    """Claims the right to control an engine; its offset is the fencing number."""

    endpoint: str
    sidecar: Incarnation


class Checkpoint(NamedTuple):
    """State of a stream's replay after ``offset``; an equal digest marks a repeat."""

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
"""The index of a type is its tag on the wire: append new types only."""


class Batch(NamedTuple):
    """One append: records of one writer, applied together and exactly once.

    A writer numbers its batches for a stream from 1 and appends the same batch
    again until it reads it back. Replay drops a batch whose ``sequence`` is not
    above the last one of its writer.
    """

    writer: Incarnation
    sequence: int
    records: tuple[Record, ...]
