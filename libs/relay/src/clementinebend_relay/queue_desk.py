"""The queues that this process keeps for all entries, and its answers to them."""

from collections import OrderedDict
from collections.abc import Callable

from clementinebend_relay.messages import (
    EndedMessage,
    Message,
    ProbeMessage,
    QueueMessage,
    ReadMessage,
    ReportMessage,
    SentMessage,
)
from clementinebend_routing.endpoint_queue import EndpointQueue
from clementinebend_transport.client_connection import Address

QUEUES_KEPT = 64
"""Boots of endpoints whose queues one process keeps: on one host there are a few, and
each boot that ended leaves one behind."""


class QueueDesk:
    """Keeps queues from what entries tell, in the memory of this boot."""

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

    def on_message(self, message: QueueMessage, sender: Address) -> None:
        """Take what an entry tells, or answer what it asks."""
        queue = self._queue(message.endpoint)
        now = self.clock()
        match message:
            case ProbeMessage():
                report = queue.report(message.priority, message.parts, now)
                self.send(ReportMessage(self.boot, message.number, report), sender)
            case SentMessage():
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

    def _queue(self, endpoint: str) -> EndpointQueue:
        queue = self.queues.get(endpoint)
        if queue is None:
            queue = self.queues[endpoint] = EndpointQueue()
        self.queues.move_to_end(endpoint)
        if len(self.queues) > QUEUES_KEPT:
            self.queues.popitem(last=False)
        return queue
