"""Notifies other entries that an endpoint is leaving.

Each entry is sent one datagram for each boot of a leaving endpoint. An entry that
misses it learns the same from the endpoint's next answer.
"""

from collections.abc import Callable, Iterable

from clementinebend_relay.discovery import Directory
from clementinebend_relay.endpoint_state import EndpointState
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_relay.messages import EndpointLeavingMessage, Message
from clementinebend_relay.models import boot_name
from clementinebend_transport.client_connection import Address


class LeavingNotifier:
    """Marks endpoints as leaving, and notifies the other entries."""

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
        """Mark an endpoint as leaving; notify the other entries if that is new."""
        if self.endpoints.on_leaving(state):
            message = EndpointLeavingMessage(self.boot, boot_name(state.endpoint))
            self.send_all(message, self.directory.others(self.boot))

    def on_message(self, message: EndpointLeavingMessage) -> None:
        """Apply another entry's message; ignore those of unknown processes."""
        if self.directory.is_announced(message.boot):
            self.endpoints.on_reported_leaving(message.endpoint)
