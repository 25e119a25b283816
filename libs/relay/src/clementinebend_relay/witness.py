"""Each entry is a witness of others: it remembers whose reserves were opened."""

from collections.abc import Callable

from clementinebend_ledger.mark_witness import Testimony, WitnessState
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.messages import (
    FenceMessage,
    Message,
    OpenMessage,
    TestimonyMessage,
)
from clementinebend_transport.client_connection import Address


class WitnessDesk:
    """Answers other entries' questions from the memory of this boot."""

    def __init__(self, boot: str, send: Callable[[Message, Address], None]) -> None:
        self.boot = boot
        self.send = send
        self.state = WitnessState()

    def on_open(self, message: OpenMessage, sender: Address) -> None:
        """Let a holder open its reserve, unless that was ruled out before."""
        if message.witness != self.boot:
            return
        before = self.state.known(message.holder)
        testimony = self.state.open(message.holder, message.epoch)
        if testimony != before:
            self._log("reserve opened", message.holder, message.epoch, testimony)
        self._answer(message.holder, testimony, sender)

    def on_fence(self, message: FenceMessage, sender: Address) -> None:
        """Rule out that a holder opens its reserve, unless it has."""
        if message.witness != self.boot:
            return
        before = self.state.known(message.holder)
        testimony = self.state.fence(message.holder, message.epoch)
        if testimony != before:
            self._log("reserve fenced", message.holder, message.epoch, testimony)
        self._answer(message.holder, testimony, sender)

    def _answer(self, holder: str, testimony: Testimony, sender: Address) -> None:
        self.send(TestimonyMessage(self.boot, holder, testimony), sender)

    def _log(
        self, decision: str, holder: str, epoch: int, testimony: Testimony
    ) -> None:
        log_decision(
            decision,
            holder=holder,
            epoch=epoch,
            fenced_to=testimony.fenced,
            opened_to=testimony.opened,
        )
