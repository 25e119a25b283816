"""Assembles an answer and queues the parts that may be sent to the caller."""

from asyncio import Queue
from collections.abc import Callable

from clementinebend_entry.answer_state import (
    FIRST_ERROR_STATUS,
    BrokenAnswer,
    apply_chunk,
    apply_end,
    apply_head,
    empty_answer,
    has_begun,
    rewind,
    unreleased_bytes,
)
from clementinebend_entry.outcomes import ErrorOutcome
from clementinebend_entry.pieces import Begun, Part, Piece, Whole
from clementinebend_records.messages import RunChunk, RunEnd, RunHead


def _do_nothing() -> None:
    """Do nothing."""


class AnswerOutput:
    """The answer to one call; ``broken`` says why it cannot be completed.

    ``pieces`` is the queue from which the caller is answered.
    """

    def __init__(self, stream: bool) -> None:
        self.answer = empty_answer(stream)
        self.pieces: Queue[Piece] = Queue()
        self.broken = ""
        self.is_head_sent = False
        self.is_finished = False
        self.on_finish: Callable[[], None] = _do_nothing

    @property
    def has_begun(self) -> bool:
        """Whether a part of the answer may have been sent to the caller."""
        return self.is_head_sent or has_begun(self.answer)

    def rewind(self) -> None:
        """Expect a new transmission of the answer from its start."""
        self.answer = rewind(self.answer)

    def head(self, head: RunHead) -> None:
        """Apply the status and content type."""
        self.answer, broken = apply_head(self.answer, head)
        self.record_broken(broken)

    def chunk(self, chunk: RunChunk) -> None:
        """Apply the next chunk, unless the answer is broken."""
        if self.broken:
            return
        self.answer, result = apply_chunk(self.answer, chunk)
        if isinstance(result, BrokenAnswer):
            self.record_broken(result)
        elif result.data:
            self.send_head()
            self.put(Part(result.data))

    def end(self, end: RunEnd) -> None:
        """Check that the answer is complete, unless it is broken."""
        if not self.broken:
            self.answer, broken = apply_end(self.answer, end)
            self.record_broken(broken)

    def release(self) -> None:
        """Finish with the bytes that were held back: the end of the answer."""
        answer = self.answer
        self.finish(Whole(answer.status, answer.content_type, unreleased_bytes(answer)))

    def finish(self, piece: Whole | ErrorOutcome) -> None:
        """Queue the final outcome; later pieces are dropped."""
        self.put(piece)
        self.is_finished = True
        self.on_finish()

    def put(self, piece: Piece) -> None:
        """Queue a piece for the caller, unless the output is finished."""
        if not self.is_finished:
            self.pieces.put_nowait(piece)

    def send_head(self) -> None:
        """Queue the head of a streamed answer, once and unless it is an error."""
        answer = self.answer
        if not self.is_head_sent and answer.status < FIRST_ERROR_STATUS:
            self.is_head_sent = True
            self.put(Begun(answer.status, answer.content_type))

    def record_broken(self, broken: BrokenAnswer | None) -> None:
        """Record the first reason why the answer cannot be completed."""
        if broken is not None and not self.broken:
            self.broken = broken.message
