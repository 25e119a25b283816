"""The witness role of an entry: it remembers which holders opened their reserves."""

from collections.abc import Callable

from clementinebend_ledger.quota_witness import Attestation, WitnessState
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.messages import (
    AttestationMessage,
    FenceMessage,
    Message,
    OpenMessage,
)
from clementinebend_transport.client_connection import Address


class WitnessServer:
    """Answers the requests of other entries from the memory of this boot."""

    def __init__(self, boot: str, send: Callable[[Message, Address], None]) -> None:
        self.boot = boot
        self.send = send
        self.state = WitnessState()

    def on_open(self, message: OpenMessage, sender: Address) -> None:
        """Let a holder open its reserve, unless the reserve has been fenced."""
        if message.witness != self.boot:
            return
        before = self.state.known(message.holder)
        attestation = self.state.open(message.holder, message.epoch)
        if attestation != before:
            self._log("reserve opened", message.holder, message.epoch, attestation)
        self._answer(message.holder, attestation, sender)

    def on_fence(self, message: FenceMessage, sender: Address) -> None:
        """Fence a holder's reserve, unless the holder has opened it."""
        if message.witness != self.boot:
            return
        before = self.state.known(message.holder)
        attestation = self.state.fence(message.holder, message.epoch)
        if attestation != before:
            self._log("reserve fenced", message.holder, message.epoch, attestation)
        self._answer(message.holder, attestation, sender)

    def _answer(self, holder: str, attestation: Attestation, sender: Address) -> None:
        self.send(AttestationMessage(self.boot, holder, attestation), sender)

    def _log(
        self, decision: str, holder: str, epoch: int, attestation: Attestation
    ) -> None:
        log_decision(
            decision,
            holder=holder,
            epoch=epoch,
            fenced_to=attestation.fenced,
            opened_to=attestation.opened,
        )
