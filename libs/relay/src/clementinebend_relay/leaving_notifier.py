"""How entries tell one another that an endpoint has said that it leaves.

Costs a datagram for each entry, once for each boot of an endpoint that leaves; one that
is lost is made good by the endpoint's next answer there.
"""

from collections.abc import Callable, Iterable

from clementinebend_relay.discovery import Directory
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_relay.messages import EndpointLeavingMessage, Message
from clementinebend_relay.models import boot_name
from clementinebend_transport.client_connection import Address


class LeavingNotifier:
    """Takes the word of endpoints and of other entries."""

    def __init__(
        self,
        boot: str,
        endpoints: EndpointTable,
        directory: Directory,
        send_all: Callable[[Message, Iterable[Address]], None],
    ) -> None:
        self.boot = boot
        self.endpoints = endpoints
        self.directory = directory
        self.send_all = send_all

    def on_leaving(self, state: EndpointState) -> None:
        """Take an endpoint's own word, and tell of it if it is new."""
        if self.endpoints.on_leaving(state):
            message = EndpointLeavingMessage(self.boot, boot_name(state.endpoint))
            self.send_all(message, self.directory.others(self.boot))

    def on_message(self, message: EndpointLeavingMessage) -> None:
        """Take another entry's word; of a process that is none, nothing."""
        if self.directory.is_announced(message.boot):
            self.endpoints.on_reported_leaving(message.endpoint)
