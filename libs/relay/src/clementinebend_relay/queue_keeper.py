"""Keeps endpoints' queues and permits for all entries, and answers their probes."""

from collections import OrderedDict
from collections.abc import Callable
from typing import TypeVar

from clementinebend_relay.limit_keeper import LimitKeeper
from clementinebend_relay.messages import (
    EndedMessage,
    LimitMessage,
    Message,
    PermitMessage,
    PermitRequestMessage,
    ProbeMessage,
    QueueMessage,
    ReadMessage,
    ReportMessage,
    SentMessage,
)
from clementinebend_relay.models import endpoint_name
from clementinebend_relay.waiting_teams import WaitingTeams
from clementinebend_routing.cold_start import RecentCalls
from clementinebend_routing.endpoint_queue import EndpointQueue
from clementinebend_routing.prefill import Pace
from clementinebend_routing.request_permits import CallClass
from clementinebend_transport.client_connection import Address

MAX_QUEUES = 64
"""Maximum number of endpoint boots whose queues one process keeps.

A host runs a few endpoints, and each ended boot leaves one queue behind.
"""

MAX_COUNTED = 10_000
"""Maximum number of endpoints whose recent calls one process counts, about 10 MB. An
evicted count would let calls through to a cold endpoint for a second."""

FULL_CALLS, FULL_TOKENS = 10_000, 10_000_000
"""Calls and tokens added to the queue that is reported of an endpoint at its request
limit: entries of an older build don't read the limit, and choose by the queue."""

Item = TypeVar("Item")


class QueueKeeper:
    """Keeps queues as entries report their calls, in memory only."""

    def __init__(
        self,
        boot: str,
        send: Callable[[Message, Address], None],
        clock: Callable[[], float],
    ) -> None:
        self.boot = boot
        self.send = send
        self.clock = clock
        self.queues: OrderedDict[str, EndpointQueue] = OrderedDict()
        self.waiting: OrderedDict[str, WaitingTeams] = OrderedDict()
        self.recent_calls: OrderedDict[str, RecentCalls] = OrderedDict()
        """By endpoint name, as entries may know different boots of one endpoint."""
        self.limits = LimitKeeper(clock)

    def on_message(self, message: QueueMessage, sender: Address) -> None:
        """Apply an entry's report of a call, or answer its probe."""
        match message:
            case ProbeMessage():
                self._on_probe(message, sender)
            case SentMessage():
                self._on_sent(message)
            case ReadMessage():
                self._on_read(message)
            case EndedMessage():
                self._queue_of(message.endpoint).on_ended(message.request)
            case PermitRequestMessage():
                self._on_permit_request(message, sender)
            case LimitMessage():
                self.limits.on_limit(message.endpoint, message.limit, message.boot)

    def _on_probe(self, message: ProbeMessage, sender: Address) -> None:
        now = self.clock()
        queue = self._queue_of(message.endpoint)
        report = queue.report(message.priority, message.parts, now)
        if message.permit_limit is not None:
            recent = self._recent_calls_of(message.endpoint)
            has_permit = recent.request_permit(message.permit_limit, now)
            report = report._replace(has_permit=has_permit)
        if message.limit is not None:
            self.limits.on_limit(message.endpoint, message.limit, str(sender))
        call_class = CallClass(message.priority, message.team)
        limit = self.limits.report(message.endpoint, call_class)
        if limit is not None and limit.wait:
            report = report._replace(
                running=report.running + FULL_CALLS, ahead=report.ahead + FULL_TOKENS
            )
        answer = ReportMessage(
            self.boot,
            message.number,
            report,
            limit,
            service_seconds=queue.plain.service_seconds(now),
            is_preceded=self._is_preceded(message, now),
        )
        self.send(answer, sender)

    def _is_preceded(self, message: ProbeMessage, now: float) -> bool:
        if message.turn is None:
            return False
        waiting = self._waiting_for(message.endpoint)
        return waiting.on_asked(message.turn, message.priority, now)

    def _on_sent(self, message: SentMessage) -> None:
        now = self.clock()
        self._recent_calls_of(message.endpoint).on_sent(now)
        self.limits.on_sent(message.endpoint, message.request)
        self._queue_of(message.endpoint).on_sent(
            message.request, message.priority, message.tokens, message.parts, now
        )
        if message.parts and message.team:
            waiting = self._waiting_for(message.endpoint)
            waiting.on_sent(message.team, message.priority, message.tokens, now)

    def _on_read(self, message: ReadMessage) -> None:
        queue = self._queue_of(message.endpoint)
        pool = Pace(message.pool_pace)
        queue.on_read(message.request, self.clock(), pool, message.slots)

    def _on_permit_request(
        self, message: PermitRequestMessage, sender: Address
    ) -> None:
        self.limits.on_limit(message.endpoint, message.limit, str(sender))
        call_class = CallClass(message.priority, message.team)
        is_granted, limit = self.limits.request_permit(
            message.endpoint, message.request, call_class, message.is_backup
        )
        answer = PermitMessage(self.boot, message.number, is_granted, limit)
        self.send(answer, sender)

    def _queue_of(self, endpoint: str) -> EndpointQueue:
        return _get_or_create(self.queues, endpoint, EndpointQueue, MAX_QUEUES)

    def _waiting_for(self, endpoint: str) -> WaitingTeams:
        return _get_or_create(self.waiting, endpoint, WaitingTeams, MAX_QUEUES)

    def _recent_calls_of(self, endpoint: str) -> RecentCalls:
        name = endpoint_name(endpoint)
        return _get_or_create(
            self.recent_calls, name, lambda: RecentCalls(self.clock()), MAX_COUNTED
        )


def _get_or_create(
    items: OrderedDict[str, Item], name: str, create: Callable[[], Item], most: int
) -> Item:
    """Return the item of a name; evict the least recently used one above ``most``."""
    if name not in items:
        items[name] = create()
    items.move_to_end(name)
    if len(items) > most:
        items.popitem(last=False)
    return items[name]
