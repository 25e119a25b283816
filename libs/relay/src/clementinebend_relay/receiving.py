"""Where a datagram goes that has come."""

from clementinebend_relay.evacuations import Evacuations
from clementinebend_relay.leaving_news import LeavingNews
from clementinebend_relay.messages import (
    AskMessage,
    AttestationMessage,
    EndedMessage,
    EndpointLeavingMessage,
    EvacuationMessage,
    FatalityMessage,
    FenceMessage,
    GiftMessage,
    LeavingMessage,
    Message,
    OpenMessage,
    ProbeMessage,
    ReadMessage,
    ReportMessage,
    SentMessage,
)
from clementinebend_relay.peers import Peers
from clementinebend_relay.quarantine_news import QuarantineNews
from clementinebend_relay.queue_keeper import QueueKeeper
from clementinebend_relay.queue_probes import QueueProbes
from clementinebend_relay.witness import WitnessDesk
from clementinebend_relay.witnesses import Witnesses
from clementinebend_transport.client_connection import Address


def receive(
    message: Message,
    sender: Address,
    peers: Peers,
    desk: WitnessDesk,
    witnesses: Witnesses,
    probes: QueueProbes,
    queues: QueueKeeper,
    news: QuarantineNews,
    leaving: LeavingNews,
    evacuations: Evacuations,
) -> None:
    """Hand a message from ``sender`` to the part of the entry that it is for."""
    match message:
        case LeavingMessage():
            peers.on_leaving(message)
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
        case ReportMessage():
            probes.on_report(message)
        case ProbeMessage() | SentMessage() | ReadMessage() | EndedMessage():
            queues.on_message(message, sender)
        case EvacuationMessage():
            evacuations.on_message(message)
        case _:
            _receive_of_endpoints(message, news, leaving)


def _receive_of_endpoints(
    message: FatalityMessage | EndpointLeavingMessage,
    news: QuarantineNews,
    leaving: LeavingNews,
) -> None:
    """Hand on what another entry has heard or seen of endpoints."""
    if isinstance(message, EndpointLeavingMessage):
        leaving.on_message(message)
    else:
        news.on_message(message)
