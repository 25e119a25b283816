"""Keeps endpoints' queues for all entries, and answers their probes."""

from collections import OrderedDict
from collections.abc import Callable
from typing import TypeVar

from clementinebend_relay.messages import (
    EndedMessage,
    Message,
    ProbeMessage,
    QueueMessage,
    ReadMessage,
    ReportMessage,
    SentMessage,
)
from clementinebend_relay.models import endpoint_name
from clementinebend_routing.cold_start import RecentCalls
from clementinebend_routing.endpoint_queue import EndpointQueue
from clementinebend_transport.client_connection import Address

MAX_QUEUES = 64
"""Maximum number of endpoint boots whose queues one process keeps.

A host runs a few endpoints, and each ended boot leaves one queue behind.
"""

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
        self.recent_calls: OrderedDict[str, RecentCalls] = OrderedDict()
        """By endpoint name, as entries may know different boots of one endpoint."""

    def on_message(self, message: QueueMessage, sender: Address) -> None:
        """Apply an entry's report of a call, or answer its probe."""
        queue = self._queue_of(message.endpoint)
        recent = self._recent_calls_of(message.endpoint)
        now = self.clock()
        match message:
            case ProbeMessage():
                report = queue.report(message.priority, message.parts, now)
                if message.permit_limit is not None:
                    has_permit = recent.request_permit(message.permit_limit, now)
                    report = report._replace(has_permit=has_permit)
                self.send(ReportMessage(self.boot, message.number, report), sender)
            case SentMessage():
                recent.on_sent(now)
                queue.on_sent(
                    message.request,
                    message.priority,
                    message.tokens,
                    message.parts,
                    now,
                )
            case ReadMessage():
                queue.on_read(message.request, now)
            case EndedMessage():
                queue.on_ended(message.request)

    def _queue_of(self, endpoint: str) -> EndpointQueue:
        return _get_or_create(self.queues, endpoint, EndpointQueue)

    def _recent_calls_of(self, endpoint: str) -> RecentCalls:
        name = endpoint_name(endpoint)
        return _get_or_create(
            self.recent_calls, name, lambda: RecentCalls(self.clock())
        )


def _get_or_create(
    items: OrderedDict[str, Item], name: str, create: Callable[[], Item]
) -> Item:
    """Return the item of a name; evict the least recently used one above the limit."""
    if name not in items:
        items[name] = create()
    items.move_to_end(name)
    if len(items) > MAX_QUEUES:
        items.popitem(last=False)
    return items[name]
