"""Answers peer entries: pointers, receipts, parts of grants, configuration."""

from asyncio import sleep
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from clementinebend_entry.local_witness import LocalWitness
from clementinebend_entry.message_link import MakeHello
from clementinebend_entry.pointer_client import PointerClient
from clementinebend_records.messages import (
    CloseNotice,
    ConfigurationReply,
    ConfigurationRequest,
    DrainOrder,
    Hello,
    Message,
    PointerDelete,
    PointerPut,
    ReceiptsLogged,
    ReceiptStored,
    ReceiptStoreRequest,
    TransferRequest,
)
from clementinebend_transport.message_stream import MessageStream

GiveRevision = Callable[[int], ConfigurationReply]


class PeerServer:
    """Serves the streams that peers open."""

    def __init__(
        self,
        hello: MakeHello,
        pointers: PointerClient,
        own: LocalWitness,
        give_revision: GiveRevision,
        drain: Callable[[], None],
    ) -> None:
        self.hello = hello
        self.pointers = pointers
        self.own = own
        self.give_revision = give_revision
        self.drain = drain
        self.streams: set[MessageStream] = set()

    async def serve(self, stream: MessageStream) -> None:
        """Answer one peer until it closes its stream."""
        stream.post(self.hello())
        conversation = Conversation(self, stream)
        self.streams.add(stream)
        try:
            while (message := await stream.receive()) is not None:
                conversation.take(message)
        finally:
            self.streams.discard(stream)

    async def beat(self, interval: float) -> None:
        """Say again and again that this entry lives."""
        while True:
            await sleep(interval)
            self.greet_again()

    def greet_again(self) -> None:
        """Tell those who ask here of a new incarnation, or of leaving."""
        for stream in self.streams:
            stream.post(self.hello())


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
    def _(self, message: PointerDelete) -> None:
        self.server.pointers.forget(message)

    @take.register
    def _(self, message: ReceiptStoreRequest) -> None:
        if self.server.own.keeper.keep(message.receipt):
            self.stream.post(ReceiptStored(message.question))

    @take.register
    def _(self, message: ReceiptsLogged) -> None:
        self.server.own.keeper.forget(message.runs)

    @take.register
    def _(self, message: ConfigurationRequest) -> None:
        self.stream.post(self.server.give_revision(message.question))

    @take.register
    def _(self, message: TransferRequest) -> None:
        if self.peer is not None:
            give = self.server.own.lender.lend(message, self.peer.incarnation)
            self.stream.post(give)

    @take.register
    def _(self, message: CloseNotice) -> None:
        self.stream.post(self.server.own.close(message.stream, message.holder))

    @take.register
    def _(self, message: DrainOrder) -> None:
        self.server.drain()
