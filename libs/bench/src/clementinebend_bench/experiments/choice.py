"""Processor time of choosing an endpoint for a prompt, by endpoints there are."""

from collections.abc import Iterable
from time import monotonic, process_time
from typing import cast

from clementinebend_admission.retry_window import RetryLimits
from clementinebend_bench.models.mark_fleet import NoRecords
from clementinebend_bench.models.mark_store import ModelLog, StoreModel
from clementinebend_bench.models.virtual_loop import run_virtually
from clementinebend_bench.rows import Row
from clementinebend_records.identifiers import new_incarnation
from clementinebend_relay.admission import Admitted
from clementinebend_relay.budgets import Budgets
from clementinebend_relay.cold_endpoints import ColdEndpoints
from clementinebend_relay.discovery import Directory
from clementinebend_relay.dispatch import Dispatcher
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_relay.interfaces import HttpProtocol
from clementinebend_relay.leaving_notifier import LeavingNotifier
from clementinebend_relay.messages import Message
from clementinebend_relay.models import (
    Call,
    Endpoint,
    Route,
    RouteKind,
    Service,
    ServiceShare,
    Team,
)
from clementinebend_relay.peers import Peers
from clementinebend_relay.permit_requests import new_permit_requests
from clementinebend_relay.quarantine.end_detector import EndDetector
from clementinebend_relay.quarantine.state import Quarantine
from clementinebend_relay.queue_probes import QueueProbes
from clementinebend_relay.witnesses import Witnesses
from clementinebend_routing.sessions import PromptPart, SessionTracker
from clementinebend_transport.client_connection import Address
from clementinebend_transport.http_client import HttpClient

SIZES = (20, 60, 300, 3_400)
"""Endpoints: the sites' pools, their grown ones, a middle size, the target."""

ENDPOINTS_LOOKED_AT = 60_000
"""How many a size's choices look at in all: some tenths of a second."""

SERVICE = "pool"
ROUTE = Route(
    "r", "/", RouteKind.STREAM, 6.0, 0.6, 1, (ServiceShare(SERVICE, 1),), 2, True, True
)


def run(seed: int) -> tuple[Row, ...]:
    """Return the processor time of one choice; nothing in it is random."""
    return tuple(
        Row(f"choice among {size} endpoints", _seconds(size) * 1e6, "µs")
        for size in SIZES
    )


def _seconds(size: int) -> float:
    dispatcher = _dispatcher(size)
    admitted = Admitted(
        _call(), ROUTE, Service(SERVICE, 500, 4), Team("t", None, None), 1, 5.0, 1, ""
    )
    choices = max(3, ENDPOINTS_LOOKED_AT // size)
    started = process_time()
    run_virtually(_survey(dispatcher, admitted, choices))
    return (process_time() - started) / choices


async def _survey(dispatcher: Dispatcher, admitted: Admitted, choices: int) -> None:
    for _ in range(choices):
        await dispatcher.survey(admitted, ())


def _dispatcher(size: int) -> Dispatcher:
    boot, directory = new_incarnation("entry"), Directory()
    witnesses = Witnesses(boot, "z", directory, _send, monotonic)
    log = ModelLog(StoreModel(()))
    budgets = Budgets(boot, (log,), witnesses, lambda holder: False, monotonic)
    cold = ColdEndpoints("entry", directory, monotonic)
    table = EndpointTable(NoRecords(), cold, monotonic)
    for number in range(size):
        name = f"endpoint-{number}"
        endpoint = Endpoint(name, SERVICE, Address("10.0.0.1", 1), "z", 64, False)
        table.states[name] = EndpointState(endpoint, 0.0)
    sessions = SessionTracker()
    peers = Peers(
        "entry",
        boot,
        directory,
        budgets,
        _send,
        _send_all,
        monotonic,
    )
    quarantine = Quarantine(monotonic)
    probes = QueueProbes(Directory(), directory, _send, monotonic)
    return Dispatcher(
        "z",
        table,
        peers,
        sessions,
        probes,
        HttpClient(),
        cast(HttpProtocol, None),  # no request is sent
        RetryLimits(0.2, 50, 10),
        quarantine,
        EndDetector(monotonic, quarantine.runs.checking, lambda endpoint, runs: None),
        LeavingNotifier(boot, table, directory, _send_all),
        new_permit_requests(boot, table.states, probes, _send, _send_all, monotonic),
        monotonic,
    )


def _call() -> Call:
    parts = (
        PromptPart("kind", 2_500),
        PromptPart("session", 3_700),
        PromptPart("own", 2_900),
    )
    return Call("r", "POST", "/", "h", (), b"", None, None, parts, 9_100, 100, None)


def _send(message: Message, to: Address) -> None:
    """Send nothing: no other entry is there."""


def _send_all(message: Message, to: Iterable[Address]) -> None:
    """Send nothing."""
