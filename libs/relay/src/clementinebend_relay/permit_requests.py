"""Requests for permits to send calls to endpoints that name a request limit."""

from asyncio import Future, get_running_loop
from collections.abc import Callable, Iterable
from itertools import count

from clementinebend_membership.rendezvous import rendezvous
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.discovery import Announcement
from clementinebend_relay.endpoint_limits import EndpointLimits
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.messages import Message, PermitMessage, PermitRequestMessage
from clementinebend_relay.metrics import request_permits
from clementinebend_relay.models import Endpoint, boot_name
from clementinebend_relay.queue_probes import QueueProbes
from clementinebend_routing.request_permits import CallClass
from clementinebend_transport.client_connection import Address
from clementinebend_transport.late_waits import wait_until_done

PERMIT_TIMEOUT = 0.03
"""How long a call waits for a permit, in seconds, about ten times a usual answer. A
permit that comes later is lost."""

ALONE_INTERVAL = 4.0
"""Minimum seconds between two calls to a limited endpoint while this entry knows of no
process that could grant permits."""

UNANSWERED_WAIT = 0.1
"""Seconds for which an endpoint gets no call of a class after a permit request for it
was not answered."""


class PermitRequests:
    """Requests permits from the processes that keep endpoints' queues.

    While such a keeper is silent, an entry stands in for it. It grants a part of the
    limit only, as the keeper may still be granting permits to other entries.
    """

    def __init__(
        self,
        probes: QueueProbes,
        limits: EndpointLimits,
        send: Callable[[Message, Address], None],
        clock: Callable[[], float],
    ) -> None:
        self.probes = probes
        self.entries = probes.entries
        self.limits = limits
        self.send = send
        self.clock = clock
        self.numbers = count(1)
        self.pending: dict[int, Future[PermitMessage]] = {}

    async def request(
        self, request_id: str, state: EndpointState, call_class: CallClass
    ) -> bool:
        """Return whether a call may be sent to a limited endpoint now."""
        outcome = await self._request(request_id, state, call_class)
        request_permits.labels(outcome).inc()
        if outcome == "granted":
            return True
        log_decision(
            "permit refused",
            request_id=request_id,
            endpoint=state.endpoint.name,
            max_rate=state.limit.rate,
            outcome=outcome,
            wait_s=round(self.limits.wait(state, call_class), 3),
        )
        return False

    async def _request(
        self, request_id: str, state: EndpointState, call_class: CallClass
    ) -> str:
        """Return whether a permit is granted, refused, or not answered for."""
        granting = self._granting(state.endpoint)
        for keeper, is_backup in granting:
            answer = await self._ask(keeper, request_id, state, call_class, is_backup)
            if answer is not None:
                self.limits.on_report(state.endpoint, call_class, answer.limit)
                return "granted" if answer.is_granted else "refused"
        is_alone = not granting
        if is_alone and self.clock() - state.last_sent_at >= ALONE_INTERVAL:
            return "granted"
        self.limits.on_refused(state, call_class, UNANSWERED_WAIT)
        return "unanswered"

    def on_permit(self, message: PermitMessage) -> None:
        """Accept the answer to a request; one that is late is ignored."""
        self.probes.on_alive(message.boot)
        future = self.pending.get(message.number)
        if future is not None and not future.done():
            future.set_result(message)

    async def _ask(
        self,
        keeper: Announcement,
        request_id: str,
        state: EndpointState,
        call_class: CallClass,
        is_backup: bool,
    ) -> PermitMessage | None:
        number = next(self.numbers)
        future = self.pending[number] = get_running_loop().create_future()
        message = PermitRequestMessage(
            number,
            boot_name(state.endpoint),
            request_id,
            call_class.priority,
            call_class.team,
            state.limit,
            is_backup,
        )
        self.send(message, keeper.address)
        try:
            is_answered = await wait_until_done(future, PERMIT_TIMEOUT)
        finally:
            del self.pending[number]
        return future.result() if is_answered else None

    def _granting(self, endpoint: Endpoint) -> list[tuple[Announcement, bool]]:
        """Return who grants permits for an endpoint, and whether as a backup."""
        keeper = self.probes.keeper(endpoint)
        announced = self.entries.announcements
        names = rendezvous(f"queue-{endpoint.name}", announced, 2)
        others = [announced[name] for name in names if announced[name] != keeper]
        backups = [(item, True) for item in others[:1]]
        if keeper is None or not self.probes.is_known(endpoint):
            return backups
        return [(keeper, False), *backups]


def new_permit_requests(
    boot: str,
    states: dict[str, EndpointState],
    probes: QueueProbes,
    send: Callable[[Message, Address], None],
    send_all: Callable[[Message, Iterable[Address]], None],
    clock: Callable[[], float],
) -> PermitRequests:
    """Return the permit requests of an entry, which share its probes' messages."""
    limits = EndpointLimits(
        boot, states, probes.entries, send_all, probes.notify, clock
    )
    probes.limit_of = limits.limit_of
    probes.on_limit = limits.on_report
    return PermitRequests(probes, limits, send, clock)
