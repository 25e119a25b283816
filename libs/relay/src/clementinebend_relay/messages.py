"""Datagrams between entries, and between entries and witnesses.

A lost datagram costs balance, a part of a budget until its holder ends, or a
repetition; nothing that must hold depends on one.
"""

from typing import Any, NamedTuple

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from clementinebend_ledger.mark_gifts import Wish
from clementinebend_ledger.mark_transfers import Transfer
from clementinebend_ledger.mark_witness import Attestation


class EndpointLoad(NamedTuple):
    """What one entry has at an endpoint: runs, and tokens still to be read.

    ``prefill`` holds the tokens by the priority of their calls, 0 for the most
    urgent: an endpoint reads urgent prompts first.
    """

    in_flight: int
    prefill: dict[int, int]

    def ahead_of(self, priority: int) -> int:
        """Return the tokens that are read before a new call's prompt."""
        return sum(
            tokens for level, tokens in self.prefill.items() if level <= priority
        )


class LoadMessage(Struct, tag="load", array_like=True):
    """One entry's load, by endpoint, and whether it is stopping.

    ``news`` names endpoints and parts of prompts that they have newly been sent.
    """

    boot: str
    loads: dict[str, EndpointLoad]
    is_leaving: bool = False
    news: list[tuple[str, str]] = []


class AskMessage(Struct, tag="ask", array_like=True):
    """An entry lacks tokens of a team's budget."""

    boot: str
    team: str
    asked: Wish


class BudgetRest(NamedTuple):
    """What a home knows of a budget that has too little left.

    ``left`` is what is left for live holders, ``uncertain`` what holders that ended
    may have spent or not.
    """

    left: int
    uncertain: int


class GiftMessage(Struct, tag="gift", array_like=True):
    """Tokens handed to the entry ``to``, in all, and what a home knows beside them."""

    boot: str
    to: str
    team: str
    transfer: Transfer
    is_home: bool
    rest: BudgetRest | None = None


class OpenMessage(Struct, tag="open", array_like=True):
    """A holder asks a witness to let it open its reserve."""

    witness: str
    holder: str
    epoch: int


class FenceMessage(Struct, tag="fence", array_like=True):
    """Somebody asks a witness never to let a holder open its reserve."""

    witness: str
    holder: str
    epoch: int


class AttestationMessage(Struct, tag="attestation", array_like=True):
    """What a witness remembers of a holder, after what it was asked."""

    witness: str
    holder: str
    attestation: Attestation


Message = (
    LoadMessage
    | AskMessage
    | GiftMessage
    | OpenMessage
    | FenceMessage
    | AttestationMessage
)


class Unreadable(NamedTuple):
    """A datagram that is none of these messages."""

    problem: str


_encoder = Encoder()
_decoder: Decoder[Any] = Decoder(Message)


def encoded(message: Message) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(message)


def decoded(data: bytes) -> Message | Unreadable:
    """Return the message in a datagram."""
    try:
        message: Message = _decoder.decode(data)
    except (DecodeError, ValidationError) as error:
        return Unreadable(str(error))
    return message
