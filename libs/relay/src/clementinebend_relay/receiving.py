"""Where a datagram goes that has come."""

from clementinebend_relay.messages import (
    AskMessage,
    AttestationMessage,
    FenceMessage,
    GiftMessage,
    LoadMessage,
    Message,
    OpenMessage,
)
from clementinebend_relay.peers import Peers
from clementinebend_relay.witness import WitnessDesk
from clementinebend_relay.witnesses import Witnesses
from clementinebend_transport.client_connection import Address


def receive(
    message: Message,
    sender: Address,
    peers: Peers,
    desk: WitnessDesk,
    witnesses: Witnesses,
) -> None:
    """Hand a message from ``sender`` to the part of the entry that it is for."""
    match message:
        case LoadMessage():
            peers.on_load(message)
        case AskMessage():
            peers.on_ask(message, sender)
        case GiftMessage():
            peers.on_gift(message)
        case OpenMessage():
            desk.on_open(message, sender)
        case FenceMessage():
            desk.on_fence(message, sender)
        case AttestationMessage():
            peers.on_heard(message.witness)
            witnesses.on_answer(message)
