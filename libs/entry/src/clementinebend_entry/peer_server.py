"""Answers peer entries: pointers, receipts, parts of grants, configuration."""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, Protocol

from clementinebend_entry.message_link import MakeHello
from clementinebend_entry.pointer_desk import PointerDesk
from clementinebend_entry.receipt_keeper import ReceiptKeeper
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.messages import (
    CloseNotice,
    CloseReply,
    DrainOrder,
    Hello,
    Message,
    PointerDrop,
    PointerPut,
    ReceiptKeep,
    ReceiptKept,
    ReceiptsLogged,
    RevisionAsk,
    RevisionGive,
    TransferAsk,
    TransferGive,
)
from clementinebend_transport.message_stream import MessageStream

GiveRevision = Callable[[int], RevisionGive]


class Lender(Protocol):
    """Who passes parts of grants, and refuses closed senders."""

    @property
    def incarnation(self) -> Incarnation:
        """The holder that this entry is now."""

    def lend(self, ask: TransferAsk, receiver: Incarnation) -> TransferGive:
        """Pass a part of a grant."""

    def refuse(self, stream: str, holder: Incarnation) -> None:
        """Take no more parts from a closed holder; log those taken."""


class PeerServer:
    """Serves the streams that peers open."""

    def __init__(
        self,
        hello: MakeHello,
        pointers: PointerDesk,
        receipts: ReceiptKeeper,
        lender: Lender,
        give_revision: GiveRevision,
        drain: Callable[[], None],
    ) -> None:
        self.hello = hello
        self.pointers = pointers
        self.receipts = receipts
        self.lender = lender
        self.give_revision = give_revision
        self.drain = drain

    async def serve(self, stream: MessageStream) -> None:
        """Answer one peer until it closes its stream."""
        stream.post(self.hello())
        conversation = Conversation(self, stream)
        while (message := await stream.receive()) is not None:
            conversation.take(message)


class Conversation:
    """What one peer asks over one stream."""

    def __init__(self, server: PeerServer, stream: MessageStream) -> None:
        self.server = server
        self.stream = stream
        self.peer: Hello | None = None

    @singledispatchmethod
    def take(self, message: Message | Any) -> None:
        """Answer one message; those that are not for an entry have no effect."""

    @take.register
    def _(self, message: Hello) -> None:
        self.peer = message

    @take.register
    def _(self, message: PointerPut) -> None:
        self.stream.post(self.server.pointers.keep(message))

    @take.register
    def _(self, message: PointerDrop) -> None:
        self.server.pointers.forget(message)

    @take.register
    def _(self, message: ReceiptKeep) -> None:
        if self.server.receipts.keep(message.receipt):
            self.stream.post(ReceiptKept(message.question))

    @take.register
    def _(self, message: ReceiptsLogged) -> None:
        self.server.receipts.forget(message.runs)

    @take.register
    def _(self, message: RevisionAsk) -> None:
        self.stream.post(self.server.give_revision(message.question))

    @take.register
    def _(self, message: TransferAsk) -> None:
        if self.peer is not None:
            give = self.server.lender.lend(message, self.peer.incarnation)
            self.stream.post(give)

    @take.register
    def _(self, message: CloseNotice) -> None:
        self.server.lender.refuse(message.stream, message.holder)
        receipts = self.server.receipts.close(message.holder)
        witness = self.server.lender.incarnation
        self.stream.post(CloseReply(message.holder, witness, 0, receipts))

    @take.register
    def _(self, message: DrainOrder) -> None:
        self.server.drain()
