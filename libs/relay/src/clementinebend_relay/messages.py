"""Datagrams between entries, and to the processes that keep endpoints' queues.

A lost datagram costs balance, a part of a budget until its holder ends, or a
retransmission; correctness never depends on delivery.
"""

from typing import Any, NamedTuple

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from clementinebend_ledger.quota_requests import TokenRequest
from clementinebend_ledger.quota_transfers import Transfer
from clementinebend_ledger.quota_witness import Attestation
from clementinebend_relay.origin_messages import (
    OriginAnswerMessage,
    OriginRequestMessage,
    OriginsMessage,
)
from clementinebend_routing.cold_start import PermitLimit
from clementinebend_routing.endpoint_queue import QueueReport
from clementinebend_routing.request_limits import RequestLimit
from clementinebend_routing.sessions import PromptPart


class LeavingMessage(Struct, tag="leaving", array_like=True):
    """An entry is stopping; ``boot`` identifies it."""

    boot: str


class PromptTurn(NamedTuple):
    """The team of a prompt, and whether it can still meet its latency target.

    ``is_waiting`` tells whether it waits in its entry's queue; one that has just
    arrived does not yet.
    """

    team: str
    is_on_time: bool
    is_waiting: bool


class ProbeMessage(Struct, tag="probe", array_like=True):
    """Asks what a call would find at an endpoint; the answer repeats ``number``.

    ``endpoint`` names one boot of it. With a ``permit_limit`` the entry also requests a
    permit to send the call. ``limit`` is the request limit that the entry knows, if
    any, and ``team`` then is the team of the call. ``turn`` is None for a call that
    needs no turn: one without a prompt, or a retry.
    """

    number: int
    endpoint: str
    priority: int
    parts: tuple[PromptPart, ...]
    permit_limit: PermitLimit | None = None
    limit: RequestLimit | None = None
    team: str = ""
    turn: PromptTurn | None = None


class LimitReport(NamedTuple):
    """The request limit that a keeper knows, and what it means for one call.

    The call may get a permit in ``wait`` seconds, or needs none if that is None.
    """

    limit: RequestLimit
    wait: float | None


class ReportMessage(Struct, tag="report", array_like=True):
    """What a call would find at an endpoint, and the boot of the queue's process.

    ``limit`` is None if the endpoint has named no limit recently. ``service_seconds``
    is how long the endpoint takes for a plain call, or None if unknown. With
    ``is_preceded`` a prompt that has precedence waits for the endpoint.
    """

    boot: str
    number: int
    report: QueueReport
    limit: LimitReport | None = None
    service_seconds: float | None = None
    is_preceded: bool = False


class PermitRequestMessage(Struct, tag="permit-asked", array_like=True):
    """Requests a permit to send a call to one boot of a limited endpoint.

    With ``is_backup`` the receiver stands in for a keeper that is silent.
    """

    number: int
    endpoint: str
    request: str
    priority: int
    team: str
    limit: RequestLimit
    is_backup: bool


class PermitMessage(Struct, tag="permit", array_like=True):
    """The answer to a permit request, which has the same ``number``."""

    boot: str
    number: int
    is_granted: bool
    limit: LimitReport


class LimitMessage(Struct, tag="limit", array_like=True):
    """One boot of an endpoint has named a request limit, or ended it."""

    boot: str
    endpoint: str
    limit: RequestLimit


class SentMessage(Struct, tag="sent", array_like=True):
    """A call was sent to an endpoint, which has ``tokens`` of its prompt to process."""

    endpoint: str
    request: str
    priority: int
    tokens: int
    parts: tuple[PromptPart, ...]
    team: str = ""


class ReadMessage(Struct, tag="read", array_like=True):
    """The first token of a call, or the whole good answer of a plain one, arrived.

    ``pool_pace`` is the median pace of the endpoints of the call's service known to the
    entry, in seconds per token, or None if unknown. ``slots`` is the number of calls
    that the endpoint runs at a time, 0 if unknown.
    """

    endpoint: str
    request: str
    pool_pace: float | None = None
    slots: int = 0


class EndedMessage(Struct, tag="ended", array_like=True):
    """A call at an endpoint has ended."""

    endpoint: str
    request: str


class TokenRequestMessage(Struct, tag="ask", array_like=True):
    """An entry requests tokens of a team's budget."""

    boot: str
    team: str
    asked: TokenRequest


class RemainingBudget(NamedTuple):
    """The remaining budget that a home reports if too little is left.

    ``left`` is what is left for live holders, ``uncertain`` what dead holders may or
    may not have spent.
    """

    left: int
    uncertain: int


class TransferMessage(Struct, tag="gift", array_like=True):
    """The total transferred to the entry ``to``, and what a home reports with it.

    ``answer_seconds`` is the current answer time of the store as seen by the home, 0 if
    the sender is not the home. ``is_taking_over`` is true if the sender is the next
    home unless one of the entries before it answers its checks.
    """

    boot: str
    to: str
    team: str
    transfer: Transfer
    is_home: bool
    remaining: RemainingBudget | None = None
    answer_seconds: float = 0.0
    is_taking_over: bool = False


class OpenMessage(Struct, tag="open", array_like=True):
    """A holder asks a witness for permission to open its reserve."""

    witness: str
    holder: str
    epoch: int


class FenceMessage(Struct, tag="fence", array_like=True):
    """Asks a witness to refuse opening a holder's reserve from now on."""

    witness: str
    holder: str
    epoch: int


class AttestationMessage(Struct, tag="attestation", array_like=True):
    """What a witness has recorded of a holder, after handling a request."""

    witness: str
    holder: str
    attestation: Attestation


class EndpointLeavingMessage(Struct, tag="endpoint-leaving", array_like=True):
    """An entry has learned that one boot of an endpoint is leaving."""

    boot: str
    endpoint: str


class EvacuationMessage(Struct, tag="evacuation", array_like=True):
    """An entry has learned that the evacuation of a zone has begun or ended.

    ``offset`` is the position in the store's log as of which this holds.
    """

    boot: str
    zone: str
    offset: int
    is_evacuated: bool


class EvacuationRequestMessage(Struct, tag="evacuations-asked", array_like=True):
    """An entry that cannot read the store asks which zones are evacuated."""

    boot: str


class ReportedRun(NamedTuple):
    """A run that ended with its endpoint; ``sent_ago`` is in seconds."""

    fingerprint: str
    sent_ago: float


class RunDetails(NamedTuple):
    """What else is known of a reported run and its request; ages are in seconds.

    ``first_event_ago`` is the age of the first event of the run's stream, if any.
    ``good_runs`` is the number of good runs of the request that the reporting entry
    knows of, ``good_run_ago`` the age of the last one.
    """

    first_event_ago: float | None = None
    good_runs: int = 0
    good_run_ago: float = 0.0


class ReportedPart(NamedTuple):
    """A part of a prompt whose endpoint ended before, or as, it began to write.

    ``request`` is the fingerprint of the run's request; the endpoint can have begun to
    write ``sent_ago`` seconds ago at the earliest.
    """

    part: str
    request: str
    sent_ago: float


class EndpointEndedMessage(Struct, tag="endpoint-ended", array_like=True):
    """One boot of an endpoint ended during an entry's calls; ages are in seconds.

    ``details`` are in the order of ``runs``. ``parts`` are the parts of prompts that
    are not known to be sound. Older builds send neither and read neither.
    """

    boot: str
    endpoint: str
    ended_ago: float
    runs: tuple[ReportedRun, ...]
    details: tuple[RunDetails, ...] = ()
    parts: tuple[ReportedPart, ...] = ()


class QuarantineMessage(Struct, tag="quarantine", array_like=True):
    """Quarantines a request or a part; ``endpoints`` are the boots that ended."""

    boot: str
    fingerprint: str
    endpoints: tuple[str, ...]


class SoundMessage(Struct, tag="sound", array_like=True):
    """A request, or one with a part, ran well: it is no longer suspected.

    A part ran well ``ago`` seconds ago; older builds send no age and read none.
    """

    boot: str
    fingerprint: str
    ago: float = 0.0


class EntryLoadMessage(Struct, tag="entry-load", array_like=True):
    """An entry is overloaded or out of rotation, or no longer is.

    ``utilization`` is that as of when it became overloaded, and ``number`` grows with
    each message of the boot. ``team`` is the one that sent it most calls when it left
    rotation: the receiver answers with a ``TeamRateMessage``. It is empty if there is
    none, or from older builds.
    """

    boot: str
    zone: str
    utilization: float
    is_overloaded: bool
    is_out: bool
    number: int = 0
    team: str = ""


class TeamRateMessage(Struct, tag="team-rate", array_like=True):
    """How many calls a second a team sends to the entry of ``boot``."""

    boot: str
    team: str
    rate: float


FatalityMessage = EndpointEndedMessage | QuarantineMessage | SoundMessage
"""Messages about requests during which endpoints ended."""

QueueMessage = (
    ProbeMessage
    | SentMessage
    | ReadMessage
    | EndedMessage
    | PermitRequestMessage
    | LimitMessage
)
"""Messages to the process that keeps an endpoint's queue."""

Message = (
    LeavingMessage
    | ProbeMessage
    | ReportMessage
    | SentMessage
    | ReadMessage
    | EndedMessage
    | PermitRequestMessage
    | PermitMessage
    | LimitMessage
    | TokenRequestMessage
    | TransferMessage
    | OpenMessage
    | FenceMessage
    | AttestationMessage
    | EndpointLeavingMessage
    | EvacuationMessage
    | EvacuationRequestMessage
    | EndpointEndedMessage
    | QuarantineMessage
    | SoundMessage
    | OriginsMessage
    | OriginRequestMessage
    | OriginAnswerMessage
    | EntryLoadMessage
    | TeamRateMessage
)


class InvalidMessage(NamedTuple):
    """A datagram that cannot be decoded as a message."""

    problem: str


_encoder = Encoder()
_decoder: Decoder[Any] = Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return the encoding of a message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message | InvalidMessage:
    """Return the message in a datagram, or why it cannot be decoded."""
    try:
        message: Message = _decoder.decode(data)
    except (DecodeError, ValidationError, RecursionError) as error:
        return InvalidMessage(str(error))
    return message
