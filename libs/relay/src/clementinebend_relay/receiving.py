"""Passes received messages to the parts of an entry that handle them."""

from clementinebend_relay.evacuations import Evacuations
from clementinebend_relay.leaving_notifier import LeavingNotifier
from clementinebend_relay.messages import (
    AttestationMessage,
    EndedMessage,
    EndpointLeavingMessage,
    EntryLoadMessage,
    EvacuationMessage,
    EvacuationRequestMessage,
    FatalityMessage,
    FenceMessage,
    LeavingMessage,
    LimitMessage,
    Message,
    OpenMessage,
    PermitMessage,
    PermitRequestMessage,
    ProbeMessage,
    ReadMessage,
    ReportMessage,
    SentMessage,
    TokenRequestMessage,
    TransferMessage,
)
from clementinebend_relay.origin_messages import (
    OriginAnswerMessage,
    OriginRequestMessage,
    OriginsMessage,
)
from clementinebend_relay.origin_replicas import OriginReplicas
from clementinebend_relay.peers import Peers
from clementinebend_relay.permit_requests import PermitRequests
from clementinebend_relay.quarantine.news import QuarantineSync
from clementinebend_relay.queue_keeper import QueueKeeper
from clementinebend_relay.queue_probes import QueueProbes
from clementinebend_relay.witness import WitnessServer
from clementinebend_relay.witnesses import Witnesses
from clementinebend_relay.zone_loads import ZoneLoads
from clementinebend_transport.client_connection import Address

ZoneMessage = EvacuationMessage | EvacuationRequestMessage
EndpointMessage = FatalityMessage | EndpointLeavingMessage


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
    permits: PermitRequests,
    origins: OriginReplicas,
    zone_loads: ZoneLoads,
) -> None:
    """Pass a message from ``sender`` to the part of the entry that handles it."""
    match message:
        case LeavingMessage() | TokenRequestMessage() | TransferMessage():
            _receive_peer_message(message, sender, peers)
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
        case PermitRequestMessage() | PermitMessage() | LimitMessage():
            _receive_limit_message(message, sender, queues, permits)
        case OriginsMessage() | OriginRequestMessage() | OriginAnswerMessage():
            origins.on_message(message, sender)
        case EntryLoadMessage():
            zone_loads.on_message(message)
        case _:
            _receive_zone_or_endpoint_message(message, sync, leaving, evacuations)


def _receive_peer_message(
    message: LeavingMessage | TokenRequestMessage | TransferMessage,
    sender: Address,
    peers: Peers,
) -> None:
    """Pass on a message about entries that stop, or about tokens of budgets."""
    match message:
        case LeavingMessage():
            peers.on_leaving(message)
        case TokenRequestMessage():
            peers.on_request(message, sender)
        case TransferMessage():
            peers.on_transfer(message)


def _receive_limit_message(
    message: PermitRequestMessage | PermitMessage | LimitMessage,
    sender: Address,
    queues: QueueKeeper,
    permits: PermitRequests,
) -> None:
    """Pass on a message about permits or request limits."""
    if isinstance(message, PermitMessage):
        permits.on_permit(message)
        return
    queues.on_message(message, sender)
    if isinstance(message, LimitMessage):
        permits.limits.on_message(message)


def _receive_zone_or_endpoint_message(
    message: ZoneMessage | EndpointMessage,
    sync: QuarantineSync,
    leaving: LeavingNotifier,
    evacuations: Evacuations,
) -> None:
    """Pass on a message about zones, endpoints or requests that end endpoints."""
    match message:
        case EvacuationMessage():
            evacuations.on_message(message)
        case EvacuationRequestMessage():
            evacuations.on_request(message)
        case EndpointLeavingMessage():
            leaving.on_message(message)
        case _:
            sync.on_message(message)
