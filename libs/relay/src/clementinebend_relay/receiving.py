"""Passes received messages to the parts of an entry that handle them."""

from clementinebend_relay.evacuations import Evacuations
from clementinebend_relay.leaving_notifier import LeavingNotifier
from clementinebend_relay.messages import (
    AttestationMessage,
    EndedMessage,
    EndpointLeavingMessage,
    EvacuationMessage,
    EvacuationRequestMessage,
    FatalityMessage,
    FenceMessage,
    LeavingMessage,
    Message,
    OpenMessage,
    ProbeMessage,
    ReadMessage,
    ReportMessage,
    SentMessage,
    TokenRequestMessage,
    TransferMessage,
)
from clementinebend_relay.peers import Peers
from clementinebend_relay.quarantine_sync import QuarantineSync
from clementinebend_relay.queue_keeper import QueueKeeper
from clementinebend_relay.queue_probes import QueueProbes
from clementinebend_relay.witness import WitnessServer
from clementinebend_relay.witnesses import Witnesses
from clementinebend_transport.client_connection import Address


def receive(
    message: Message,
    sender: Address,
    peers: Peers,
    witness_desk: WitnessServer,
    witnesses: Witnesses,
    probes: QueueProbes,
    queues: QueueKeeper,
    sync: QuarantineSync,
    leaving: LeavingNotifier,
    evacuations: Evacuations,
) -> None:
    """Pass a message from ``sender`` to the part of the entry that handles it."""
    match message:
        case LeavingMessage():
            peers.on_leaving(message)
        case TokenRequestMessage():
            peers.on_request(message, sender)
        case TransferMessage():
            peers.on_transfer(message)
        case OpenMessage():
            witness_desk.on_open(message, sender)
        case FenceMessage():
            peers.repeat_leaving(sender)
            witness_desk.on_fence(message, sender)
        case AttestationMessage():
            peers.on_heard(message.witness)
            witnesses.on_answer(message)
        case ReportMessage():
            probes.on_report(message)
        case ProbeMessage() | SentMessage() | ReadMessage() | EndedMessage():
            queues.on_message(message, sender)
        case EvacuationMessage() | EvacuationRequestMessage():
            _receive_evacuation_message(message, evacuations)
        case _:
            _receive_endpoint_message(message, sync, leaving)


def _receive_evacuation_message(
    message: EvacuationMessage | EvacuationRequestMessage, evacuations: Evacuations
) -> None:
    """Pass on a status of a zone, or a request for such statuses."""
    if isinstance(message, EvacuationMessage):
        evacuations.on_message(message)
    else:
        evacuations.on_request(message)


def _receive_endpoint_message(
    message: FatalityMessage | EndpointLeavingMessage,
    sync: QuarantineSync,
    leaving: LeavingNotifier,
) -> None:
    """Pass on a message about endpoints or about requests that end them."""
    if isinstance(message, EndpointLeavingMessage):
        leaving.on_message(message)
    else:
        sync.on_message(message)
