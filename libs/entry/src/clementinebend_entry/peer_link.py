"""The connection to one peer entry: questions, each with one answer."""

from asyncio import Future, get_running_loop
from collections.abc import Callable
from functools import singledispatch
from itertools import count
from typing import Any

from clementinebend_entry.message_link import MakeHello, MessageLink
from clementinebend_entry.settings import Peer
from clementinebend_entry.sidecar_link import LinkDown, LinkUp
from clementinebend_records.messages import (
    CloseReply,
    ConfigurationReply,
    ConfigurationRequest,
    Hello,
    Message,
    PointerPut,
    PointerReply,
    ReceiptStored,
    ReceiptStoreRequest,
    TransferReply,
    TransferRequest,
)
from clementinebend_transport.late_waits import wait_until_done

Question = PointerPut | ReceiptStoreRequest | ConfigurationRequest | TransferRequest
Answer = PointerReply | ReceiptStored | ConfigurationReply | TransferReply
PeerNews = LinkUp | LinkDown | CloseReply | TransferReply
Tell = Callable[[PeerNews], None]


class PeerLink(MessageLink):
    """Connects to one peer and matches answers with questions.

    A part of a grant that comes too late for its question is still passed on
    to ``tell``: the sender has subtracted it.
    """

    def __init__(
        self, peer: Peer, hello: MakeHello, tell: Tell, silence: float
    ) -> None:
        super().__init__(peer.name, peer.host, peer.port, hello, silence)
        self.zone = peer.zone
        self.tell = tell
        self.questions = count(1)
        self.waiting: dict[int, Future[Answer | None]] = {}

    def greeted(self, hello: Hello) -> None:
        """Take the peer's ``Hello``; a mere repeat is a heartbeat."""
        if self.up.is_set() and hello == self.peer:
            return
        super().greeted(hello)
        self.tell(LinkUp(self.name, hello))

    def lose(self) -> None:
        """Give all questions up."""
        super().lose()
        for answer in self.waiting.values():
            if not answer.done():
                answer.set_result(None)
        self.tell(LinkDown(self.name))

    async def ask(self, question: Question, patience: float) -> Answer | None:
        """Send a question; None if no answer comes within ``patience`` seconds."""
        number = next(self.questions)
        if not self.post(question._replace(question=number)):
            return None
        answer: Future[Answer | None] = get_running_loop().create_future()
        self.waiting[number] = answer
        try:
            is_answered = await wait_until_done(answer, patience)
        finally:
            del self.waiting[number]
        return answer.result() if is_answered else None

    def answer(self, answer: Answer) -> None:
        """Take the answer to a question."""
        waiting = self.waiting.get(answer.question)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def take(self, message: Message) -> None:
        """Take one message; those that are no answers have no effect."""
        super().take(message)
        _take(message, self)


@singledispatch
def _take(message: Any, link: PeerLink) -> None:
    return None


@_take.register(PointerReply)
@_take.register(ReceiptStored)
@_take.register(ConfigurationReply)
def _(
    message: PointerReply | ReceiptStored | ConfigurationReply, link: PeerLink
) -> None:
    link.answer(message)


@_take.register
def _(message: TransferReply, link: PeerLink) -> None:
    link.tell(message)
    link.answer(message)


@_take.register
def _(message: CloseReply, link: PeerLink) -> None:
    link.tell(message)
